#include "daemon/daemon_main.h"

#include <gflags/gflags.h>

#include <cstdio>

#include "cli/command_line.h"
#include "config/settings.h"
#include "config/settings_reader.h"

DEFINE_string(settings, "", "YAML file with the settings of this process");

namespace godwit::daemon {

int DaemonMain(int argc,
               char** argv,
               const std::string& usage,
               void (*declare)(config::SettingsReader&),
               void (*serve)(const config::Settings&)) {
  config::SettingsReader reader;
  declare(reader);
  cli::CommandLine line;
  const auto words = line.Parse(argc, argv);
  if (line.help()) {
    std::printf("%s%s", usage.c_str(), reader.Help().c_str());
    return 0;
  }
  if (!words) {
    std::fprintf(stderr, "%s\n", line.last_error().ToString().c_str());
    return cli::kUsageExitCode;
  }
  const auto settings = reader.ReadFile(FLAGS_settings);
  if (!settings) {
    std::fprintf(stderr, "%s\n", reader.last_error().ToString().c_str());
    return config::kSettingsExitCode;
  }
  serve(*settings);
  return 0;
}

}  // namespace godwit::daemon
