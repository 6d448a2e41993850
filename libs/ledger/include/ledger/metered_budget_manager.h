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

// Spends budgets in a router that meters usage itself, from grants set aside
// in the KV before use, so a budget holds over kills, pauses and cuts. A grant
// that is lost with its router counts as spent, except for what the router had
// promised not to spend yet: a process that is started again on the same VM
// frees that, going by the VM's monotonic clock. Limits come from the
// configuration, and each write names the configuration that it relies on, so
// that a router which does not know a lowered limit yet can't set tokens aside
// above it.
//
// Routers that know each other lend tokens: of each part of the ledger one
// router draws, and the others borrow from it what they use in a few seconds.
// A loan counts as used at the lender until the borrower reports or returns it,
// so that a lost message or a killed borrower costs tokens and never creates
// any. No I/O. One thread at a time.
class MeteredBudgetManager {
 public:
  using Command = std::variant<platform::KvRead,
                               platform::KvWrite,
                               SendToPeer,
                               GrantClosed,
                               PeerUnresponsive>;

  enum class ReserveResult : uint8_t {
    kReserved,
    // Ask again after the next Step.
    kWait,
    // What is left of the budget is known not to cover the amount.
    kExhausted,
    // The KV can't be asked, other routers hold what is left, or it is not
    // known whether it was used.
    kUnavailable,
  };

  // `process` prefixes the incarnations of this router's earlier lives, whose
  // grants are closed: they can't be spending.
  MeteredBudgetManager(base::ProcessId process,
                       base::Incarnation self,
                       MeteredPolicy policy);
  ~MeteredBudgetManager();
  MeteredBudgetManager(const MeteredBudgetManager&) = delete;
  MeteredBudgetManager& operator=(const MeteredBudgetManager&) = delete;

  // Limits of all budgets, and the stored configuration that states them.
  void SetLimits(const std::vector<BudgetLimit>& limits,
                 platform::KvCondition configuration);
  // Wall clock less the clock of `now`, as of now.
  void SetClockOffset(base::Millis offset);
  // Routers that share the budgets, this one included; of use until SetPeers.
  void SetRouters(size_t count);
  // All routers of the fleet that lend and borrow, this one included. The list
  // may be some seconds old.
  void SetPeers(base::Millis now, const std::vector<Peer>& peers);

  // Sets `amount` of a budget aside for a request that waits since `since`. A
  // budget that no longer has a limit is never short, and one that never had
  // one is unavailable.
  ReserveResult Reserve(base::Millis now,
                        const base::BudgetId& budget,
                        base::Tokens amount,
                        base::Millis since);
  // Ends a reservation of `reserved` of which no more was used.
  void Settle(base::Millis now,
              const base::BudgetId& budget,
              base::Tokens reserved,
              Usage used);

  // Gives back what is not reserved, now and as reservations end.
  void Drain();
  // True once nothing more is to be given back.
  bool drained() const;

  // Each returns what to ask of the KV and of other routers.
  std::vector<Command> Tick(base::Millis now);
  std::vector<Command> On(base::Millis now, const platform::KvReadDone& done);
  std::vector<Command> On(base::Millis now, const platform::KvWriteDone& done);
  // A message of the router at `from`.
  std::vector<Command> On(base::Millis now,
                          const base::Endpoint& from,
                          const PeerMessage& message);

  // What a verdict on the budget is based on, for logs.
  std::string Describe(base::Millis now, const base::BudgetId& budget) const;

 private:
  struct State;
  std::unique_ptr<State> state_;
};

}  // namespace godwit::ledger

#endif  // LEDGER_METERED_BUDGET_MANAGER_H_
