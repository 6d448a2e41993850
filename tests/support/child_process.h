#ifndef SUPPORT_CHILD_PROCESS_H_
#define SUPPORT_CHILD_PROCESS_H_

#include <sys/types.h>

#include <cstdint>
#include <string>
#include <vector>

namespace godwit::support {

// Runs a program of this build, which prints "listening on IP:PORT" once it is
// ready. The destructor kills and reaps the process.
class ChildProcess {
 public:
  // Starts GODWIT_BIN_DIR/`program` and blocks until it is ready. Its stderr
  // goes to `error_file`, or to the stderr of the test if `error_file` is
  // empty.
  ChildProcess(const std::string& program,
               const std::vector<std::string>& arguments,
               const std::string& error_file = "");
  ~ChildProcess();
  ChildProcess(const ChildProcess&) = delete;
  ChildProcess& operator=(const ChildProcess&) = delete;

  // Port that the process listens on; 0 if it did not become ready.
  uint16_t port() const noexcept { return port_; }
  pid_t pid() const noexcept { return pid_; }

  void Signal(int signal) const;
  // Blocks until the process exits; returns its exit code, or -1 if a signal
  // terminated it.
  int Wait();

 private:
  pid_t pid_ = -1;
  uint16_t port_ = 0;
};

}  // namespace godwit::support

#endif  // SUPPORT_CHILD_PROCESS_H_
