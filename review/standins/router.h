#ifndef REVIEW_STANDINS_ROUTER_H_
#define REVIEW_STANDINS_ROUTER_H_

#include <sys/types.h>

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace godwit::review {

// A router that is started with the command of the deploy file, and with
// settings written from its template.
class Router {
 public:
  // Values of the fields of the template, by name.
  using Fields = std::map<std::string, std::string>;

  // `directory` is for the settings file and the log. The working directory has
  // to be the root of the repository.
  Router(std::string directory,
         const std::string& name,
         const std::string& zone,
         uint16_t store_port);
  // Kills the process if it still runs.
  ~Router();
  Router(const Router&) = delete;
  Router& operator=(const Router&) = delete;

  void Start();
  void Signal(int signal) const;
  // Returns true if the process has ended by `deadline` of the clock.
  bool WaitForEnd(int64_t deadline);
  // True if it answers that callers may be sent to it.
  bool IsReady() const;
  bool WaitUntilReady(int64_t timeout_ms) const;

  uint16_t port() const noexcept { return callers_; }
  const std::string& name() const noexcept { return name_; }
  pid_t pid() const noexcept { return pid_; }

 private:
  const std::string directory_;
  const std::string name_;
  const uint16_t callers_;
  const uint16_t readiness_;
  std::string settings_file_;
  std::vector<std::string> command_;
  pid_t pid_ = -1;
};

}  // namespace godwit::review

#endif  // REVIEW_STANDINS_ROUTER_H_
