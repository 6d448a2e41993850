#ifndef LINK_RUN_STATE_H_
#define LINK_RUN_STATE_H_

#include <tuple>

#include "base/ids.h"
#include "link/run_phase.h"

namespace godwit::link {

// Agent to router: state of an attempt at the agent.
struct RunState {
  // The attempt.
  base::AttemptId attempt;
  // Its phase; kTombstoned is final.
  RunPhase phase = RunPhase::kUnknown;
  // The grant that is charged; empty unless the run has ended.
  base::GrantId grant;
  // Tokens billed; zero unless the run has ended.
  base::Tokens billed = 0;

  // Calls visit(name, field) for each field, in wire order.
  template <typename Self, typename Visit>
  static void ForEachField(Self& self, Visit&& visit) {
    visit("attempt", self.attempt);
    visit("phase", self.phase);
    visit("grant", self.grant);
    visit("billed", self.billed);
  }

  friend bool operator==(const RunState& a, const RunState& b) {
    return std::tie(a.attempt, a.phase, a.grant, a.billed) ==
           std::tie(b.attempt, b.phase, b.grant, b.billed);
  }
  friend bool operator!=(const RunState& a, const RunState& b) {
    return !(a == b);
  }
};

}  // namespace godwit::link

#endif  // LINK_RUN_STATE_H_
