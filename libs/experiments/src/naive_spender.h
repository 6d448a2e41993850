#ifndef EXPERIMENTS_NAIVE_SPENDER_H_
#define EXPERIMENTS_NAIVE_SPENDER_H_

#include <set>

#include "base/ids.h"
#include "base/millis.h"
#include "ledger/agent_usage_reported.h"
#include "spender_output.h"

namespace godwit::experiments {

// Empty handlers for the events that a strategy without recovery ignores.
class NaiveSpender {
 public:
  void Start(base::Millis,
             const base::AttemptId&,
             const base::Incarnation&,
             SpenderOutput&) {}
  void Report(base::Millis, const ledger::AgentUsageReported&, SpenderOutput&) {
  }
  void UpdateLiveRouters(base::Millis,
                         const std::set<base::Incarnation>&,
                         SpenderOutput&) {}
};

}  // namespace godwit::experiments

#endif  // EXPERIMENTS_NAIVE_SPENDER_H_
