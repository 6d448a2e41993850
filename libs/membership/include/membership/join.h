#ifndef MEMBERSHIP_JOIN_H_
#define MEMBERSHIP_JOIN_H_

#include "membership/fleet_agent.h"

namespace godwit::membership {

// Edit: a life of an agent begins. Earlier lives of the process become gone
// at its joined_at. No effect when the incarnation is already in the record,
// whatever its state.
struct Join {
  // `state` is kActive.
  FleetAgent agent;

  friend bool operator==(const Join& a, const Join& b) {
    return a.agent == b.agent;
  }
  friend bool operator!=(const Join& a, const Join& b) { return !(a == b); }
};

}  // namespace godwit::membership

#endif  // MEMBERSHIP_JOIN_H_
