#include "daemon/daemon_main.h"
#include "daemon/serve.h"
#include "router_daemon.h"
#include "router_settings.h"

namespace {

constexpr char kUsage[] =
    "Serves callers of the fleet: checks budgets, routes requests to agents "
    "and relays their answers.\n\n"
    "  godwit-router --settings FILE\n\n"
    "SIGTERM stops it in order: it says that it is not ready, takes no new "
    "requests after a grace, finishes those in progress and hands its budgets "
    "back; while the KV is down, other routers recover them. SIGHUP makes it "
    "read its certificates again.\n"
    "Exit codes: 0 stopped in order, 1 can't serve or stopped with requests in "
    "progress, 2 settings or command line not valid.\n\nSettings:\n";

}  // namespace

int main(int argc, char** argv) {
  return godwit::daemon::DaemonMain(
      argc, argv, kUsage, godwit::router_daemon::DeclareSettings,
      godwit::daemon::Serve<godwit::router_daemon::RouterDaemon>);
}
