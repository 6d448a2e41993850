#ifndef ROUTER_GRANT_RECOVERIES_H_
#define ROUTER_GRANT_RECOVERIES_H_

#include <map>
#include <optional>

#include "base/ids.h"
#include "link/grant_usage.h"
#include "link/run_end.h"

namespace godwit::router {

class CallLifecycle;

// Tracks the grants of lost routers that this router recovers, and the complete
// answers under them. An answer is billed only if the directory confirms that
// its attempt owns its key: otherwise another attempt may have replaced it, and
// both would be billed.
class GrantRecoveries {
 public:
  explicit GrantRecoveries(CallLifecycle& call_lifecycle) noexcept
      : call_lifecycle_(call_lifecycle) {}

  // Called when an agent is requested to seal the grant.
  void Begin(const base::GrantId& grant) { answers_[grant]; }
  // Records a complete answer at an agent incarnation; ignored unless its grant
  // is being recovered.
  void OnRunEnd(const base::Incarnation& agent_incarnation,
                const link::RunEnd& end);
  // Returns the tokens to bill of the usage that an agent incarnation reported;
  // empty until the directory has decided on every answer. Without a report,
  // the budget manager repeats its request to the agent.
  std::optional<base::Tokens> BillableUsage(const link::GrantUsage& usage);
  // Called when the grant is closed.
  void End(const base::GrantId& grant);

 private:
  using Answers = std::map<base::AttemptId, link::RunEnd>;

  CallLifecycle& call_lifecycle_;
  std::map<base::GrantId, std::map<base::Incarnation, Answers>> answers_;
};

}  // namespace godwit::router

#endif  // ROUTER_GRANT_RECOVERIES_H_
