#include <gflags/gflags.h>

#include <cstdio>
#include <string>

#include "config/settings.h"
#include "config/settings_reader.h"
#include "daemon/on_terminate.h"
#include "router_daemon.h"
#include "runtime/runtime.h"

DEFINE_string(settings, "", "YAML file with the settings of this router");

namespace {

constexpr char kUsage[] =
    "Serves callers of the fleet: checks budgets, routes requests to agents "
    "and relays their answers.\n\n"
    "  godwit-router --settings FILE\n\n"
    "SIGTERM stops it in order: it takes no new requests, finishes those in "
    "progress and hands its budgets back.\n"
    "Exit codes: 0 stopped in order, 1 can't serve, 2 settings or command "
    "line not valid.\n\nSettings:\n";

int Serve(const godwit::config::Settings& settings) {
  godwit::runtime::Runtime runtime;
  godwit::router_daemon::RouterDaemon daemon(runtime, settings);
  godwit::daemon::OnTerminate on_terminate(runtime,
                                           [&daemon] { daemon.Drain(); });
  bool started = false;
  runtime.Run([&] {
    started = daemon.Start();
    if (!started) {
      runtime.Stop();
    }
  });
  if (!started) {
    std::fprintf(stderr, "%s\n", daemon.last_error().ToString().c_str());
    return 1;
  }
  return 0;
}

}  // namespace

int main(int argc, char** argv) {
  godwit::config::SettingsReader reader;
  godwit::router_daemon::DeclareSettings(reader);
  gflags::SetUsageMessage(kUsage + reader.Help());
  gflags::ParseCommandLineFlags(&argc, &argv, true);
  const auto settings = reader.ReadFile(FLAGS_settings);
  if (!settings) {
    std::fprintf(stderr, "%s\n", reader.last_error().ToString().c_str());
    return godwit::config::kSettingsExitCode;
  }
  return Serve(*settings);
}
