#ifndef DISPATCH_LOAD_REPORT_H_
#define DISPATCH_LOAD_REPORT_H_

#include <cstdint>
#include <optional>
#include <tuple>

namespace godwit::dispatch {

// Load of a backend server, as stated in one of its answers.
struct LoadReport {
  int64_t running = 0;
  int64_t waiting = 0;
  int64_t slots = 0;
  // How long work takes at the server now, in percent of the usual time; empty
  // if it states none.
  std::optional<int64_t> work_time_percent;

  friend bool operator==(const LoadReport& a, const LoadReport& b) {
    return std::tie(a.running, a.waiting, a.slots, a.work_time_percent) ==
           std::tie(b.running, b.waiting, b.slots, b.work_time_percent);
  }
  friend bool operator!=(const LoadReport& a, const LoadReport& b) {
    return !(a == b);
  }
};

}  // namespace godwit::dispatch

#endif  // DISPATCH_LOAD_REPORT_H_
