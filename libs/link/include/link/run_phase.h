#ifndef LINK_RUN_PHASE_H_
#define LINK_RUN_PHASE_H_

#include <cstdint>

namespace godwit::link {

// Phase of an attempt at an agent. The values are sent over links; append only.
enum class RunPhase : uint8_t {
  // The agent has no record of the attempt.
  kUnknown = 0,
  // Started or queued.
  kRunning = 1,
  // The complete answer is stored and can be attached to.
  kComplete = 2,
  // Started and ended without a complete answer.
  kFailed = 3,
  // Did not start and never will.
  kTombstoned = 4,
};

}  // namespace godwit::link

#endif  // LINK_RUN_PHASE_H_
