#include <gflags/gflags.h>

#include <boost/asio/io_context.hpp>
#include <boost/asio/signal_set.hpp>
#include <csignal>
#include <cstdio>
#include <cstdlib>
#include <string>

#include "config/settings.h"
#include "config/settings_reader.h"
#include "daemon/daemon_main.h"
#include "daemon/log_settings.h"
#include "edge_daemon.h"
#include "edge_settings.h"
#include "telemetry/event_id.h"
#include "telemetry/log.h"

DECLARE_string(settings);

namespace {

namespace config = godwit::config;
using godwit::telemetry::EventId;
using godwit::telemetry::Log;

constexpr char kUsage[] =
    "Serves callers of the fleet: checks keys and budgets, chooses backend "
    "servers and calls them directly.\n\n"
    "  godwit-edge --settings FILE\n\n"
    "SIGTERM stops it in order: it says that it is not ready, serves what "
    "still comes for a while, finishes requests in progress and hands its "
    "budgets back. SIGHUP makes it check its settings file again.\n"
    "Exit codes: 0 stopped in order, 1 can't serve, 2 settings or command "
    "line not valid.\n\nSettings:\n";

// Settings take effect only at the next start; an invalid file, which would
// prevent it, is reported now.
void CheckSettings() {
  config::SettingsReader reader;
  godwit::edge::DeclareSettings(reader);
  if (reader.ReadFile(FLAGS_settings)) {
    Log(EventId::kSettingsReloaded, {{"file", FLAGS_settings}});
  } else {
    Log(EventId::kSettingsRefused,
        {{"file", FLAGS_settings}, {"reason", reader.last_error().ToString()}});
  }
}

void AwaitSignals(boost::asio::signal_set& signals,
                  godwit::edge::EdgeDaemon& daemon) {
  signals.async_wait(
      [&signals, &daemon](const boost::system::error_code& error, int number) {
        if (error) {
          return;
        }
        if (number == SIGHUP) {
          CheckSettings();
        } else {
          daemon.Drain();
        }
        AwaitSignals(signals, daemon);
      });
}

void Serve(const config::Settings& settings) {
  std::signal(SIGPIPE, SIG_IGN);
  auto options = godwit::daemon::LogOptionsOf(settings);
  options.to_stdout = true;
  godwit::telemetry::StartLogging(options);
  for (const std::string& key : settings.unfilled()) {
    Log(EventId::kSettingUnfilled, {{"key", key}});
  }
  // The concurrency hint 1 avoids locking, since only one thread runs the
  // context.
  boost::asio::io_context io(1);
  int code = EXIT_SUCCESS;
  {
    godwit::edge::EdgeDaemon daemon(io, settings);
    boost::asio::signal_set signals(io, SIGTERM, SIGINT, SIGHUP);
    AwaitSignals(signals, daemon);
    if (daemon.Start()) {
      io.run();
    } else {
      std::fprintf(stderr, "%s\n", daemon.last_error().ToString().c_str());
      code = EXIT_FAILURE;
    }
  }
  Log(EventId::kProcessStopped);
  godwit::telemetry::StopLogging();
  std::exit(code);
}

}  // namespace

int main(int argc, char** argv) {
  return godwit::daemon::DaemonMain(argc, argv, kUsage,
                                    godwit::edge::DeclareSettings, Serve);
}
