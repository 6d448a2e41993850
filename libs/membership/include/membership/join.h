#ifndef MEMBERSHIP_JOIN_H_
#define MEMBERSHIP_JOIN_H_

#include "membership/fleet_agent.h"

namespace godwit::membership {

// Edit: an agent incarnation starts. Earlier incarnations of the process are
// marked as removed at its joined_at. No effect if the incarnation is already
// in the record, in any state.
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
