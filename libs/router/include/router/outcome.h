#ifndef ROUTER_OUTCOME_H_
#define ROUTER_OUTCOME_H_

#include <cstdint>

namespace godwit::router {

// Final outcome of a request.
enum class Outcome : uint8_t {
  kAnswer,
  kNotRun,
  kOutcomeUnknown,
  // The caller disconnected before the end of its answer.
  kCallerDisconnected,
};

}  // namespace godwit::router

#endif  // ROUTER_OUTCOME_H_
