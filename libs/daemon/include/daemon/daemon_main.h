#ifndef DAEMON_DAEMON_MAIN_H_
#define DAEMON_DAEMON_MAIN_H_

#include <string>

namespace godwit::config {
class Settings;
class SettingsReader;
}  // namespace godwit::config

namespace godwit::daemon {

// The part of main() that daemons share: reads the command line and the file
// that --settings names, then calls `serve`. Help is `usage` and the declared
// settings. Returns the exit code.
int DaemonMain(int argc,
               char** argv,
               const std::string& usage,
               void (*declare)(config::SettingsReader&),
               void (*serve)(const config::Settings&));

}  // namespace godwit::daemon

#endif  // DAEMON_DAEMON_MAIN_H_
