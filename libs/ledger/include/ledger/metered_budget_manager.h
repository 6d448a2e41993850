#ifndef LEDGER_METERED_BUDGET_MANAGER_H_
#define LEDGER_METERED_BUDGET_MANAGER_H_

#include <cstddef>
#include <cstdint>
#include <memory>
#include <string>
#include <variant>
#include <vector>

#include "base/endpoint.h"
#include "base/ids.h"
#include "base/millis.h"
#include "ledger/budget_limit.h"
#include "ledger/budget_merged.h"
#include "ledger/budget_report.h"
#include "ledger/grant_closed.h"
#include "ledger/metered_policy.h"
#include "ledger/peer.h"
#include "ledger/peer_message.h"
#include "ledger/peer_unresponsive.h"
#include "ledger/send_to_peer.h"
#include "ledger/usage.h"
#include "platform/kv_condition.h"
#include "platform/kv_read.h"
#include "platform/kv_read_done.h"
#include "platform/kv_write.h"
#include "platform/kv_write_done.h"

namespace godwit::ledger {

// Spends budgets in a router that meters usage itself, from grants set aside in
// the KV before use, so that the limits hold across process failures, pauses
// and network partitions. A grant that is lost with its router counts as spent,
// except for the part that the router had promised not to spend yet: the next
// incarnation on the VM frees that part, based on the VM's monotonic clock or,
// if the VM restarted, on the wall clocks of the fleet. Limits come from the
// configuration. Each write is conditional on the configuration that it relies
// on, so that a router that does not know a lowered limit yet can't set tokens
// aside above it.
//
// Routers that know each other lend tokens: one router draws from each shard of
// the ledger, and the others borrow from it what they use in a few seconds. A
// loan counts as used at the lender until the borrower reports or returns it,
// so that a lost message or a failed borrower costs tokens and never creates
// any. No I/O. Not thread-safe.
class MeteredBudgetManager {
 public:
  using Command = std::variant<platform::KvRead,
                               platform::KvWrite,
                               SendToPeer,
                               GrantClosed,
                               BudgetMerged,
                               PeerUnresponsive>;

  enum class ReserveResult : uint8_t {
    kReserved,
    // Call Reserve again after the next Tick or On.
    kWait,
    // What remains of the budget is known not to cover the amount.
    kExhausted,
    // The KV does not answer, other routers hold what remains, or it is not
    // known whether it was used.
    kUnavailable,
  };

  // `process` is the prefix of the incarnations of this router. Grants of
  // earlier incarnations are closed, because these can no longer spend.
  MeteredBudgetManager(base::ProcessId process,
                       base::Incarnation self,
                       MeteredPolicy policy);
  ~MeteredBudgetManager();
  MeteredBudgetManager(const MeteredBudgetManager&) = delete;
  MeteredBudgetManager& operator=(const MeteredBudgetManager&) = delete;

  // Sets the limits of all budgets, and the stored configuration that states
  // them.
  void SetLimits(const std::vector<BudgetLimit>& limits,
                 platform::KvCondition configuration);
  // Sets the current difference between the wall clock and the clock of `now`.
  void SetClockOffset(base::Millis offset);
  // Starts an era of the KV: the first one, or a later one after the KV
  // returned from an older copy. What this router knows is then written to the
  // ledger again, and nothing is drawn until the other routers have done so,
  // too.
  void SetEra(base::Millis now, int64_t era);
  // The last era in which this router has done so, for its Peer entry.
  int64_t merged_era() const noexcept;
  // Sets the number of routers that share the budgets, including this one; used
  // until SetPeers is called.
  void SetRouters(size_t count);
  // Sets all routers of the fleet that lend and borrow, including this one. The
  // list may be some seconds old.
  void SetPeers(base::Millis now, const std::vector<Peer>& peers);

  // Reserves `amount` of a budget for a request that has waited since `since`.
  // Of a scarce budget, the most urgent requests are served first (0 is the
  // most urgent), and the oldest first among equals. A budget that no longer
  // has a limit always covers the amount, and one that never had a limit is
  // kUnavailable.
  ReserveResult Reserve(base::Millis now,
                        const base::BudgetId& budget,
                        base::Tokens amount,
                        base::Millis since,
                        int64_t urgency);
  // Returns the time after which tokens of a budget are expected, as of the
  // last reservation that was kUnavailable.
  base::Millis RetryAfter(const base::BudgetId& budget) const;
  // Ends a reservation of `reserved` tokens, of which `used` were used.
  void Settle(base::Millis now,
              const base::BudgetId& budget,
              base::Tokens reserved,
              Usage used);

  // Starts to return tokens: at once those that are not reserved, the others as
  // their reservations end.
  void Drain();
  // True once nothing remains to be returned.
  bool drained() const;

  // Each returns the operations and messages to send to the KV and to other
  // routers.
  std::vector<Command> Tick(base::Millis now);
  std::vector<Command> On(base::Millis now, const platform::KvReadDone& done);
  std::vector<Command> On(base::Millis now, const platform::KvWriteDone& done);
  // Handles a message of the router at `from`.
  std::vector<Command> On(base::Millis now,
                          const base::Endpoint& from,
                          const PeerMessage& message);

  // Returns the state of all budgets, for metrics.
  std::vector<BudgetReport> Reports() const;
  // Describes the state on which the results of Reserve are based, for logs.
  std::string Describe(base::Millis now, const base::BudgetId& budget) const;

 private:
  struct State;
  std::unique_ptr<State> state_;
};

}  // namespace godwit::ledger

#endif  // LEDGER_METERED_BUDGET_MANAGER_H_
