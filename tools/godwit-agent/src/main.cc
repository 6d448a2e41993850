#include <gflags/gflags.h>

#include <csignal>
#include <cstdio>
#include <string>

#include "agent_daemon.h"
#include "config/settings.h"
#include "config/settings_reader.h"
#include "daemon/log_settings.h"
#include "daemon/on_signal.h"
#include "runtime/runtime.h"
#include "telemetry/event_id.h"
#include "telemetry/log.h"

DEFINE_string(settings, "", "YAML file with the settings of this agent");

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

[[noreturn]] void Serve(const godwit::config::Settings& settings) {
  godwit::telemetry::StartLogging(godwit::daemon::LogOptionsOf(settings));
  godwit::runtime::Runtime runtime;
  godwit::agent_daemon::AgentDaemon daemon(runtime, settings);
  godwit::daemon::OnSignal on_terminate(runtime, {SIGTERM, SIGINT},
                                        [&daemon] { daemon.Drain(); });
  godwit::daemon::OnSignal on_hangup(
      runtime, {SIGHUP}, [&daemon] { daemon.ReloadCertificates(); });
  runtime.Run([&] {
    if (!daemon.Start()) {
      runtime.Stop();
    }
  });
  const godwit::base::Error& error = daemon.last_error();
  const bool in_order = error.kind() == godwit::base::ErrorKind::kNone;
  if (!in_order) {
    std::fprintf(stderr, "%s\n", error.ToString().c_str());
  }
  godwit::telemetry::Log(godwit::telemetry::EventId::kProcessStopped);
  godwit::telemetry::StopLogging();
  godwit::runtime::Runtime::Exit(in_order ? 0 : 1);
}

}  // namespace

int main(int argc, char** argv) {
  godwit::config::SettingsReader reader;
  godwit::agent_daemon::DeclareSettings(reader);
  gflags::SetUsageMessage(kUsage + reader.Help());
  gflags::ParseCommandLineFlags(&argc, &argv, true);
  const auto settings = reader.ReadFile(FLAGS_settings);
  if (!settings) {
    std::fprintf(stderr, "%s\n", reader.last_error().ToString().c_str());
    return godwit::config::kSettingsExitCode;
  }
  Serve(*settings);
}
