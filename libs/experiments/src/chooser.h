#ifndef EXPERIMENTS_CHOOSER_H_
#define EXPERIMENTS_CHOOSER_H_

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <variant>
#include <vector>

#include "base/ids.h"
#include "base/millis.h"
#include "routing/candidate.h"
#include "routing/pick_request.h"
#include "routing/picker.h"

namespace godwit::experiments {

// Chooses the agents in turn.
struct RoundRobin {
  size_t next = 0;
};

// Chooses the agent with the fewest requests of this router in progress.
struct LeastInFlight {
  std::map<base::Incarnation, int64_t> in_flight;
  std::map<base::AttemptId, base::Incarnation> attempts;
  size_t next = 0;
};

// How a router chooses agents: the routing policy or a naive strategy.
using Chooser = std::variant<RoundRobin, LeastInFlight, routing::Picker>;

// Returns the chosen agent; empty if the request is refused.
std::optional<base::Incarnation> Choose(
    Chooser& chooser,
    base::Millis now,
    const routing::PickRequest& request,
    const std::vector<routing::Candidate>& candidates);

void OnStarted(Chooser& chooser,
               base::Millis now,
               const base::AttemptId& attempt,
               const base::Incarnation& agent,
               const routing::PickRequest& request);
void OnFirstToken(Chooser& chooser,
                  base::Millis now,
                  const base::AttemptId& attempt);
void OnEnded(Chooser& chooser,
             base::Millis now,
             const base::AttemptId& attempt);
void OnFailed(Chooser& chooser,
              base::Millis now,
              const base::AttemptId& attempt);
// The agent dropped the attempt because its deadline passed in the queue.
void OnExpired(Chooser& chooser,
               base::Millis now,
               const base::AttemptId& attempt);
void OnLoad(Chooser& chooser,
            base::Millis now,
            const base::Incarnation& agent,
            int64_t running,
            int64_t queued);

}  // namespace godwit::experiments

#endif  // EXPERIMENTS_CHOOSER_H_
