#include "agent_daemon.h"
#include "daemon/daemon_main.h"
#include "daemon/serve.h"

namespace {

constexpr char kUsage[] =
    "Stands before one backend server: starts, meters and keeps its runs for "
    "the routers of the fleet.\n\n"
    "  godwit-agent --settings FILE\n\n"
    "SIGTERM stops it in order: it takes no new runs, finishes those in "
    "progress and hands their answers over. SIGHUP makes it read its "
    "certificates again.\n"
    "Exit codes: 0 stopped in order, 1 can't serve or stopped with runs in "
    "progress, 2 settings or command line not valid.\n\nSettings:\n";

}  // namespace

int main(int argc, char** argv) {
  return godwit::daemon::DaemonMain(
      argc, argv, kUsage, godwit::agent_daemon::DeclareSettings,
      godwit::daemon::Serve<godwit::agent_daemon::AgentDaemon>);
}
