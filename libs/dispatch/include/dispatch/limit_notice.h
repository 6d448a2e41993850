#ifndef DISPATCH_LIMIT_NOTICE_H_
#define DISPATCH_LIMIT_NOTICE_H_

#include <optional>
#include <string>
#include <tuple>

#include "base/millis.h"

namespace godwit::dispatch {

// Notifies another router of the limit that a backend server states.
struct LimitNotice {
  // Backend::key() of the server.
  std::string backend;
  // Requests a second from all routers together; empty if it states none.
  std::optional<double> limit;
  // Time since the sender received an answer that states this.
  base::Millis age;

  friend bool operator==(const LimitNotice& a, const LimitNotice& b) {
    return std::tie(a.backend, a.limit, a.age) ==
           std::tie(b.backend, b.limit, b.age);
  }
  friend bool operator!=(const LimitNotice& a, const LimitNotice& b) {
    return !(a == b);
  }
};

}  // namespace godwit::dispatch

#endif  // DISPATCH_LIMIT_NOTICE_H_
