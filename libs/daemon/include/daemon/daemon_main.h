#ifndef DAEMON_DAEMON_MAIN_H_
#define DAEMON_DAEMON_MAIN_H_

#include <string>

namespace godwit::config {
class Settings;
class SettingsReader;
}  // namespace godwit::config

namespace godwit::daemon {

// Common main() of daemons: parses the command line, reads the settings file
// named by --settings and calls `serve`. The help text consists of `usage` and
// the declared settings. Returns the exit code.
int DaemonMain(int argc,
               char** argv,
               const std::string& usage,
               void (*declare)(config::SettingsReader&),
               void (*serve)(const config::Settings&));

}  // namespace godwit::daemon

#endif  // DAEMON_DAEMON_MAIN_H_
