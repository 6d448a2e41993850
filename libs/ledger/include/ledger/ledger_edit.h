#ifndef LEDGER_LEDGER_EDIT_H_
#define LEDGER_LEDGER_EDIT_H_

#include <string>
#include <vector>

#include "base/error.h"
#include "base/ids.h"
#include "base/millis.h"
#include "ledger/ledger_record.h"

namespace godwit::ledger {

// Builds the next version of a record by operations that each keep its
// invariant. An operation that fails returns false, changes nothing and says
// why in last_error(). One thread at a time.
class LedgerEdit {
 public:
  explicit LedgerEdit(LedgerRecord record);

  const LedgerRecord& record() const noexcept { return record_; }
  const base::Error& last_error() const noexcept { return error_; }
  // True when the record differs from the one given.
  bool changed() const noexcept { return changed_; }

  // Adds an empty budget. A repeat for the same organisation changes nothing;
  // another organisation is kConflict.
  bool CreateBudget(const base::BudgetId& budget,
                    const base::OrganisationId& organisation);

  // Adds `amount` > 0 to the limit, once for each operation id. A repeat with
  // the same amount changes nothing; with another amount it is kConflict.
  // kInvalidArgument when not positive or beyond the range of Tokens.
  bool TopUp(const base::BudgetId& budget,
             const std::string& operation,
             base::Tokens amount,
             base::Millis wall_now);

  // Makes `limit` >= 0 the limit of a budget whose limit is kept elsewhere, in
  // place of its top-ups. What is billed, held or set aside stays covered: the
  // limit never falls below their sum.
  bool SetLimit(const base::BudgetId& budget,
                base::Tokens limit,
                base::Millis wall_now);

  // Sets `amount` >= 0 more aside for a holder's grant, which begins if it does
  // not exist. kBudgetExhausted when less is free; kStale when sealed.
  bool Draw(const base::BudgetId& budget,
            const base::GrantId& grant,
            const base::Incarnation& holder,
            base::Tokens amount);

  // Lets an active grant be spent at more agents. kStale when it is sealed or
  // closed.
  bool ListAgents(const base::BudgetId& budget,
                  const base::GrantId& grant,
                  const std::vector<base::Incarnation>& agents);

  // Raises the usage at a listed agent to `billed`; lower values change
  // nothing. kStale when the grant is closed, kConflict beyond its amount.
  bool Settle(const base::BudgetId& budget,
              const base::GrantId& grant,
              const base::Incarnation& agent,
              base::Tokens billed);

  // Gives `amount` of an active grant back. kConflict when less is unbilled.
  bool Shrink(const base::BudgetId& budget,
              const base::GrantId& grant,
              base::Tokens amount);

  // Takes an agent that is gone off an active grant: its usage becomes billed,
  // and `unaccounted` tokens that may have been used there become held.
  bool RemoveAgent(const base::BudgetId& budget,
                   const base::GrantId& grant,
                   const base::Incarnation& agent,
                   base::Tokens unaccounted);

  // The holder closes its own active grant, with nothing running under it:
  // usage becomes billed, the rest is free.
  bool ReturnGrant(const base::BudgetId& budget, const base::GrantId& grant);

  // Ends all spending of a grant, for its recovery. A repeat changes nothing.
  bool Seal(const base::BudgetId& budget, const base::GrantId& grant);

  // Sealed grant: whole usage at one agent, or its loss without a report.
  bool FinishAgent(const base::BudgetId& budget,
                   const base::GrantId& grant,
                   const base::Incarnation& agent,
                   base::Tokens billed);
  bool MarkAgentLost(const base::BudgetId& budget,
                     const base::GrantId& grant,
                     const base::Incarnation& agent);

  // Closes a sealed grant once no account is open: usage becomes billed; the
  // rest is free, or held when an agent was lost. kConflict while one is open.
  bool Close(const base::BudgetId& budget, const base::GrantId& grant);

  // Frees `amount` of the held tokens, or bills it. kConflict when less is
  // held.
  bool WriteOff(const base::BudgetId& budget, base::Tokens amount, bool bill);

  // Records what a router lacks; 0 removes the mark.
  bool SetShortfall(const base::BudgetId& budget,
                    const base::Incarnation& holder,
                    base::Tokens amount);

  // Names the write that will store this record.
  void SetWrite(base::WriteId write);

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
