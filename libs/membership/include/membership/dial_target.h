#ifndef MEMBERSHIP_DIAL_TARGET_H_
#define MEMBERSHIP_DIAL_TARGET_H_

#include <cstdint>
#include <string>
#include <tuple>

#include "base/ids.h"

namespace godwit::membership {

// An agent that a router should open a link to.
struct DialTarget {
  base::ProcessId process;
  std::string ip;
  uint16_t port = 0;

  friend bool operator==(const DialTarget& a, const DialTarget& b) {
    return std::tie(a.process, a.ip, a.port) ==
           std::tie(b.process, b.ip, b.port);
  }
  friend bool operator!=(const DialTarget& a, const DialTarget& b) {
    return !(a == b);
  }
};

}  // namespace godwit::membership

#endif  // MEMBERSHIP_DIAL_TARGET_H_
