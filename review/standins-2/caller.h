#ifndef REVIEW_STANDINS_2_CALLER_H_
#define REVIEW_STANDINS_2_CALLER_H_

#include <atomic>
#include <cstdint>
#include <functional>
#include <string>
#include <thread>

#include "record.h"

namespace godwit::review {

// A caller that sends one request after the other on a channel that it keeps
// open, in a thread of its own. Honours Retry-After.
class Caller {
 public:
  struct Options {
    std::string name;
    std::string tenant;
    // Sends prompts to the model engines, or orders to the booking application.
    bool sends_prompts = true;
    // Returns the port to connect to.
    std::function<uint16_t()> port;
    // Time from one request to the next.
    int interval_ms = 0;
  };

  Caller(Options options, Record& record);
  // Ends after the request in progress.
  ~Caller();
  Caller(const Caller&) = delete;
  Caller& operator=(const Caller&) = delete;

 private:
  void Run();
  void Sleep(int64_t ms) const;

  const Options options_;
  Record& record_;
  std::atomic<bool> is_stopping_{false};
  std::thread thread_;
};

}  // namespace godwit::review

#endif  // REVIEW_STANDINS_2_CALLER_H_
