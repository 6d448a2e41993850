#ifndef DISPATCH_COLD_LIMIT_H_
#define DISPATCH_COLD_LIMIT_H_

#include <tuple>

#include "base/millis.h"

namespace godwit::dispatch {

// The limit on the requests of a cold backend server.
struct ColdLimit {
  // Requests a second from all routers together.
  double rate = 1;
  // When the server is warm.
  base::Millis until;

  friend bool operator==(const ColdLimit& a, const ColdLimit& b) {
    return std::tie(a.rate, a.until) == std::tie(b.rate, b.until);
  }
  friend bool operator!=(const ColdLimit& a, const ColdLimit& b) {
    return !(a == b);
  }
};

}  // namespace godwit::dispatch

#endif  // DISPATCH_COLD_LIMIT_H_
