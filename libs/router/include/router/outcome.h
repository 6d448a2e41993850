#ifndef ROUTER_OUTCOME_H_
#define ROUTER_OUTCOME_H_

#include <cstdint>

namespace godwit::router {

// The final kinds of a request.
enum class Outcome : uint8_t {
  kAnswer,
  kNotRun,
  kOutcomeUnknown,
  // The caller left before the end.
  kCallerDisconnected,
};

}  // namespace godwit::router

#endif  // ROUTER_OUTCOME_H_
