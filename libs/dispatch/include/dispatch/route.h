#ifndef DISPATCH_ROUTE_H_
#define DISPATCH_ROUTE_H_

#include <cstdint>
#include <string>
#include <tuple>
#include <vector>

#include "base/millis.h"
#include "dispatch/repeat_rule.h"
#include "dispatch/route_target.h"

namespace godwit::dispatch {

// How requests of one host and path prefix are handled.
struct Route {
  std::string name;
  std::string host;
  // Begins and ends with a slash.
  std::string prefix;
  RepeatRule repeat = RepeatRule::kAtMostOnce;
  // Answers are event streams; the latency objective is on the first event.
  bool is_stream = false;
  // Longest time from arrival to the end of the answer.
  base::Millis timeout{30000};
  // Time to the first byte, or first event of a stream, within which an answer
  // is on time.
  base::Millis latency_objective{1000};
  // Longest pause between events within which an answer is on time.
  base::Millis event_gap_objective{1000};
  // 0 is the most urgent.
  int64_t priority = 0;
  std::vector<RouteTarget> targets;
  // Maximum number of backend servers that one request may run on.
  int64_t max_attempts = 1;
  // Served without an API key.
  bool anonymous = false;

  friend bool operator==(const Route& a, const Route& b) {
    return std::tie(a.name, a.host, a.prefix, a.repeat, a.is_stream, a.timeout,
                    a.latency_objective, a.event_gap_objective, a.priority,
                    a.targets, a.max_attempts, a.anonymous) ==
           std::tie(b.name, b.host, b.prefix, b.repeat, b.is_stream, b.timeout,
                    b.latency_objective, b.event_gap_objective, b.priority,
                    b.targets, b.max_attempts, b.anonymous);
  }
  friend bool operator!=(const Route& a, const Route& b) { return !(a == b); }
};

}  // namespace godwit::dispatch

#endif  // DISPATCH_ROUTE_H_
