#include "daemon/log_settings.h"

#include "config/settings.h"
#include "config/settings_reader.h"

namespace godwit::daemon {

void DeclareLogSettings(config::SettingsReader& reader) {
  reader.Choice("log_format", "form of log lines", {"text", "json"})
      .Default("text")
      .Choice("log_level", "log lines below this are left out",
              {"debug", "info", "warning", "error"})
      .Default("info");
}

telemetry::LogOptions LogOptionsOf(const config::Settings& settings) {
  telemetry::LogOptions options;
  options.process = settings.Text("process");
  options.format = settings.Text("log_format") == "json"
                       ? telemetry::LogFormat::kJson
                       : telemetry::LogFormat::kText;
  options.level =
      telemetry::LevelOf(settings.Text("log_level")).value_or(options.level);
  return options;
}

}  // namespace godwit::daemon
