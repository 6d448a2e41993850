#ifndef ROUTER_GRANT_RECOVERIES_H_
#define ROUTER_GRANT_RECOVERIES_H_

#include <map>
#include <optional>

#include "base/ids.h"
#include "link/grant_usage.h"
#include "link/run_end.h"

namespace godwit::router {

class CallFlow;

// The grants of lost routers that this router recovers, and the whole answers
// under them. An answer is billed only if the directory confirms that its
// attempt owns its key: another attempt may have taken its place since, and
// would be billed as well.
class GrantRecoveries {
 public:
  explicit GrantRecoveries(CallFlow& flow) noexcept : flow_(flow) {}

  // An agent is asked to seal the grant.
  void Begin(const base::GrantId& grant) { answers_[grant]; }
  // A whole answer at an agent agent_incarnation; ignored unless its grant is
  // recovered.
  void OnRunEnd(const base::Incarnation& agent_incarnation,
                const link::RunEnd& end);
  // What the agent agent_incarnation may bill of its account; empty while the
  // directory has not spoken on every answer. The ledger then asks the agent
  // again.
  std::optional<base::Tokens> BillableUsage(const link::GrantUsage& usage);
  // The grant is closed.
  void End(const base::GrantId& grant);

 private:
  using Answers = std::map<base::AttemptId, link::RunEnd>;

  CallFlow& flow_;
  std::map<base::GrantId, std::map<base::Incarnation, Answers>> answers_;
};

}  // namespace godwit::router

#endif  // ROUTER_GRANT_RECOVERIES_H_
