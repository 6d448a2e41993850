#ifndef LEDGER_LEDGER_EDIT_H_
#define LEDGER_LEDGER_EDIT_H_

#include <functional>
#include <string>
#include <vector>

#include "base/error.h"
#include "base/ids.h"
#include "base/millis.h"
#include "ledger/ledger_record.h"

namespace godwit::ledger {

// Builds the next version of a record by operations that each keep its
// invariant. An operation that fails returns false, changes nothing and sets
// last_error(): kNotFound if the budget does not exist, otherwise the kind
// stated for the operation. Not thread-safe.
class LedgerEdit {
 public:
  explicit LedgerEdit(LedgerRecord record);

  const LedgerRecord& record() const noexcept { return record_; }
  const base::Error& last_error() const noexcept { return error_; }
  // True if the record differs from the one given.
  bool changed() const noexcept { return changed_; }

  // Adds an empty budget. A repeat for the same organisation has no effect;
  // another organisation is kConflict, an empty id kInvalidArgument.
  bool CreateBudget(const base::BudgetId& budget,
                    const base::OrganisationId& organisation);

  // Adds `amount` > 0 to the limit, once for each operation id. A repeat with
  // the same amount has no effect; with another amount it is kConflict.
  // kInvalidArgument if the amount is not positive, the operation id is empty
  // or the limit would exceed the range of Tokens.
  bool TopUp(const base::BudgetId& budget,
             const std::string& operation,
             base::Tokens amount,
             base::Millis wall_now);

  // Sets the limit of a budget to `limit` >= 0, in place of its top-ups, for
  // budgets whose limit is kept elsewhere. The limit never falls below the sum
  // of the tokens that are billed, held or set aside. kInvalidArgument if
  // `limit` is negative.
  bool SetLimit(const base::BudgetId& budget,
                base::Tokens limit,
                base::Millis wall_now);

  // Sets `amount` >= 0 more tokens aside for a holder's grant, which is created
  // if it does not exist. kBudgetExhausted if less is free; kStale if the grant
  // is sealed; kConflict if it has another holder; kInvalidArgument if `amount`
  // is negative.
  bool Draw(const base::BudgetId& budget,
            const base::GrantId& grant,
            const base::Incarnation& holder,
            base::Tokens amount);

  // Lists more agents at which an active grant may be spent. kStale if it is
  // sealed or closed.
  bool ListAgents(const base::BudgetId& budget,
                  const base::GrantId& grant,
                  const std::vector<base::Incarnation>& agents);

  // Raises the usage at a listed agent to `billed`; lower values have no
  // effect. kNotFound if the agent is not listed; kStale if the grant is closed
  // or the agent's account is finished; kConflict if the usage would exceed the
  // grant's amount.
  bool Settle(const base::BudgetId& budget,
              const base::GrantId& grant,
              const base::Incarnation& agent,
              base::Tokens billed);

  // Returns `amount` of an active grant to the budget. kStale if the grant is
  // sealed or closed; kConflict if less is unbilled.
  bool Shrink(const base::BudgetId& budget,
              const base::GrantId& grant,
              base::Tokens amount);

  // Removes an agent that was lost from an active grant: its usage becomes
  // billed, and the `unaccounted` tokens that may have been used there become
  // held. kNotFound if the agent is not listed; kStale if the grant is sealed
  // or closed; kConflict if less than `unaccounted` is unbilled.
  bool RemoveAgent(const base::BudgetId& budget,
                   const base::GrantId& grant,
                   const base::Incarnation& agent,
                   base::Tokens unaccounted);

  // Closes the holder's own active grant, with nothing running under it: its
  // usage becomes billed, the remaining tokens become free. kStale if it is
  // sealed or closed.
  bool ReturnGrant(const base::BudgetId& budget, const base::GrantId& grant);

  // Ends all spending of a grant, for its recovery. A repeat has no effect.
  // kStale if it is closed.
  bool Seal(const base::BudgetId& budget, const base::GrantId& grant);

  // For a sealed grant: records the complete usage at one agent, or the loss of
  // the agent without a report. Errors are those of Settle; kConflict also if
  // the grant is not sealed.
  bool FinishAgent(const base::BudgetId& budget,
                   const base::GrantId& grant,
                   const base::Incarnation& agent,
                   base::Tokens billed);
  bool MarkAgentLost(const base::BudgetId& budget,
                     const base::GrantId& grant,
                     const base::Incarnation& agent);

  // Closes a sealed grant once no account is open: its usage becomes billed;
  // the remaining tokens become free, or held if an agent was lost. kConflict
  // while an account is open or the grant is not sealed, kStale if it is
  // already closed.
  bool Close(const base::BudgetId& budget, const base::GrantId& grant);

  // Numbers a grant among those of its holder's process, and its amount among
  // those that the holder set. kStale if it is sealed or closed.
  bool NumberGrant(const base::BudgetId& budget,
                   const base::GrantId& grant,
                   int64_t revision);

  // Closes a grant of a router that meters usage itself, and keeps it in the
  // record (Grant::closure). Of it, `counted` tokens count: what is billed, and
  // the rest as in doubt. That may be more than the grant's amount, and raises
  // the limit if it is not free. A repeat has no effect. kStale if the grant
  // does not exist, kInvalidArgument if less counts than is billed.
  bool Retire(const base::BudgetId& budget,
              const base::GrantId& grant,
              base::Tokens counted,
              GrantClosure closure);

  // Folds the earliest retired grants of each process into one, as long as
  // `is_due` returns true for them.
  bool FoldRetired(const base::BudgetId& budget,
                   const std::function<bool(const base::GrantId&)>& is_due);

  // Frees `amount` of the held tokens, or bills it. kConflict if less is held
  // or `amount` is not positive.
  bool WriteOff(const base::BudgetId& budget, base::Tokens amount, bool bill);

  // Records the tokens that a router is short of; 0 removes the entry.
  bool SetShortfall(const base::BudgetId& budget,
                    const base::Incarnation& holder,
                    base::Tokens amount);

  // Sets the id of the write that will store this record.
  void SetWrite(base::WriteId write);
  void SetEra(int64_t era);

 private:
  bool Fail(base::ErrorKind kind, std::string message, std::string remedy);
  Budget* FindBudget(const base::BudgetId& budget);
  Grant* FindGrant(const base::BudgetId& budget, const base::GrantId& grant);
  Grant* FindActive(const base::BudgetId& budget, const base::GrantId& grant);
  AgentAccount* FindOpenAccount(const base::BudgetId& budget,
                                const base::GrantId& grant,
                                const base::Incarnation& agent);

  LedgerRecord record_;
  base::Error error_;
  bool changed_ = false;
};

}  // namespace godwit::ledger

#endif  // LEDGER_LEDGER_EDIT_H_
