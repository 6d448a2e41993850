#ifndef DAEMON_SERVE_H_
#define DAEMON_SERVE_H_

#include <csignal>
#include <cstdio>

#include "base/error.h"
#include "config/settings.h"
#include "daemon/log_settings.h"
#include "daemon/signal_handler.h"
#include "runtime/runtime.h"
#include "telemetry/event_id.h"
#include "telemetry/log.h"

namespace godwit::daemon {

// Runs a daemon until it has stopped and exits the process: with 0 after an
// orderly stop, else with 1 after printing the error. Daemon must provide
// Start, Drain, ReloadCertificates and last_error. SIGTERM and SIGINT drain the
// daemon, SIGHUP reloads its certificates.
template <typename Daemon>
[[noreturn]] void Serve(const config::Settings& settings) {
  telemetry::StartLogging(LogOptionsOf(settings));
  runtime::Runtime runtime;
  Daemon daemon(runtime, settings);
  SignalHandler on_terminate(runtime, {SIGTERM, SIGINT},
                             [&daemon] { daemon.Drain(); });
  SignalHandler on_hangup(runtime, {SIGHUP},
                          [&daemon] { daemon.ReloadCertificates(); });
  runtime.Run([&] {
    if (!daemon.Start()) {
      runtime.Stop();
    }
  });
  const base::Error& error = daemon.last_error();
  const bool in_order = error.kind() == base::ErrorKind::kNone;
  if (!in_order) {
    std::fprintf(stderr, "%s\n", error.ToString().c_str());
  }
  telemetry::Log(telemetry::EventId::kProcessStopped);
  telemetry::StopLogging();
  runtime::Runtime::Exit(in_order ? 0 : 1);
}

}  // namespace godwit::daemon

#endif  // DAEMON_SERVE_H_
