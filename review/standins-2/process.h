#ifndef REVIEW_STANDINS_2_PROCESS_H_
#define REVIEW_STANDINS_2_PROCESS_H_

#include <sys/types.h>

#include <string>
#include <vector>

namespace godwit::review {

// A child process. The destructor kills it.
class Process {
 public:
  // Starts a program whose output goes to `output_file`.
  Process(const std::vector<std::string>& command,
          const std::string& output_file);
  ~Process();
  Process(const Process&) = delete;
  Process& operator=(const Process&) = delete;

  void Signal(int signal) const;
  // Waits until the process has ended. Returns false if it has not in time.
  bool Wait(int timeout_ms);

 private:
  pid_t pid_ = -1;
};

}  // namespace godwit::review

#endif  // REVIEW_STANDINS_2_PROCESS_H_
