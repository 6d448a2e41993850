#ifndef MEMBERSHIP_AGENT_STATE_H_
#define MEMBERSHIP_AGENT_STATE_H_

#include <cstdint>

namespace godwit::membership {

// Where a life of an agent stands; moves forward only. The values are stored;
// append only.
enum class AgentState : uint8_t {
  // Takes work.
  kActive = 0,
  // Finishes what runs and takes nothing new.
  kLeaving = 1,
  // Ended; never comes back.
  kRemoved = 2,
};

}  // namespace godwit::membership

#endif  // MEMBERSHIP_AGENT_STATE_H_
