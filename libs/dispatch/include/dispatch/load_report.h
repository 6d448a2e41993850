#ifndef DISPATCH_LOAD_REPORT_H_
#define DISPATCH_LOAD_REPORT_H_

#include <cstdint>
#include <tuple>

namespace godwit::dispatch {

// Load of a backend server, as stated in one of its answers.
struct LoadReport {
  int64_t running = 0;
  int64_t waiting = 0;
  int64_t slots = 0;

  friend bool operator==(const LoadReport& a, const LoadReport& b) {
    return std::tie(a.running, a.waiting, a.slots) ==
           std::tie(b.running, b.waiting, b.slots);
  }
  friend bool operator!=(const LoadReport& a, const LoadReport& b) {
    return !(a == b);
  }
};

}  // namespace godwit::dispatch

#endif  // DISPATCH_LOAD_REPORT_H_
