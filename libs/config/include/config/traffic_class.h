#ifndef CONFIG_TRAFFIC_CLASS_H_
#define CONFIG_TRAFFIC_CLASS_H_

#include <cstdint>
#include <string>
#include <tuple>

#include "base/millis.h"

namespace godwit::config {

// A class of requests with a priority and a deadline, such as quotes or
// chat.
struct TrafficClass {
  // Value of the Godwit-Class request header that selects the class.
  std::string name;
  // 0 to 100; requests with a higher priority are served first.
  int64_t priority = 50;
  // Maximum time from arrival to the first response byte; a later response is
  // of no use to the caller.
  base::Millis deadline{30000};

  friend bool operator==(const TrafficClass& a, const TrafficClass& b) {
    return std::tie(a.name, a.priority, a.deadline) ==
           std::tie(b.name, b.priority, b.deadline);
  }
  friend bool operator!=(const TrafficClass& a, const TrafficClass& b) {
    return !(a == b);
  }
};

}  // namespace godwit::config

#endif  // CONFIG_TRAFFIC_CLASS_H_
