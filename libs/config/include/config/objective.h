#ifndef CONFIG_OBJECTIVE_H_
#define CONFIG_OBJECTIVE_H_

#include <tuple>

#include "base/millis.h"

namespace godwit::config {

// Service-level objective of a service.
struct Objective {
  // Share of requests that must succeed, 0 to 1.
  double availability = 0.999;
  // Maximum time to the first token.
  base::Millis first_token{650};
  // Maximum time between tokens.
  base::Millis token_gap{31};
  // Share of requests that must meet both latency objectives, 0 to 1.
  double latency_share = 0.95;

  friend bool operator==(const Objective& a, const Objective& b) {
    return std::tie(a.availability, a.first_token, a.token_gap,
                    a.latency_share) == std::tie(b.availability, b.first_token,
                                                 b.token_gap, b.latency_share);
  }
  friend bool operator!=(const Objective& a, const Objective& b) {
    return !(a == b);
  }
};

}  // namespace godwit::config

#endif  // CONFIG_OBJECTIVE_H_
