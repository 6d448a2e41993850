#ifndef LINK_RUN_PHASE_H_
#define LINK_RUN_PHASE_H_

#include <cstdint>

namespace godwit::link {

// Where an attempt stands at an agent. The values travel on links; append
// only.
enum class RunPhase : uint8_t {
  // The agent has no record of the attempt.
  kUnknown = 0,
  // Started or queued.
  kRunning = 1,
  // The whole answer is kept and can be attached to.
  kComplete = 2,
  // Started and ended without a whole answer.
  kFailed = 3,
  // Never started and never will.
  kTombstoned = 4,
};

}  // namespace godwit::link

#endif  // LINK_RUN_PHASE_H_
