#ifndef MEMBERSHIP_AGENT_STATE_H_
#define MEMBERSHIP_AGENT_STATE_H_

#include <cstdint>

namespace godwit::membership {

// State of an agent incarnation; it only moves forward. The values are stored:
// append only.
enum class AgentState : uint8_t {
  // Accepts work.
  kActive = 0,
  // Finishes its running work and accepts no new work.
  kLeaving = 1,
  // Ended; this state is final.
  kRemoved = 2,
};

}  // namespace godwit::membership

#endif  // MEMBERSHIP_AGENT_STATE_H_
