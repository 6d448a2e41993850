#ifndef SUPPORT_CHILD_PROCESS_H_
#define SUPPORT_CHILD_PROCESS_H_

#include <sys/types.h>

#include <cstdint>
#include <string>
#include <vector>

namespace godwit::support {

// A program of this build that a test runs and that prints
// "listening on IP:PORT" when it is ready. Killed and reaped at the end.
class ChildProcess {
 public:
  // Starts GODWIT_BIN_DIR/`program` and waits until it is ready. Its stderr
  // goes to `error_file`, or to that of the test when empty.
  ChildProcess(const std::string& program,
               const std::vector<std::string>& arguments,
               const std::string& error_file = "");
  ~ChildProcess();
  ChildProcess(const ChildProcess&) = delete;
  ChildProcess& operator=(const ChildProcess&) = delete;

  // Port that it listens on; 0 if it did not become ready.
  uint16_t port() const noexcept { return port_; }
  pid_t pid() const noexcept { return pid_; }

  // Sends a signal.
  void Signal(int signal) const;
  // Waits for the end; returns the exit code, or -1 if a signal ended it.
  int Wait();

 private:
  pid_t pid_ = -1;
  uint16_t port_ = 0;
};

}  // namespace godwit::support

#endif  // SUPPORT_CHILD_PROCESS_H_
