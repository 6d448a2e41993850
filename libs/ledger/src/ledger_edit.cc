#include "ledger/ledger_edit.h"

#include <algorithm>
#include <utility>

namespace godwit::ledger {
namespace {

using base::ErrorKind;
using base::Tokens;

}  // namespace

LedgerEdit::LedgerEdit(LedgerRecord record) : record_(std::move(record)) {}

bool LedgerEdit::Fail(ErrorKind kind, std::string message, std::string remedy) {
  error_ = base::Error(kind, std::move(message), std::move(remedy));
  return false;
}

Budget* LedgerEdit::FindBudget(const base::BudgetId& budget) {
  const auto found = record_.budgets.find(budget);
  if (found == record_.budgets.end()) {
    Fail(ErrorKind::kNotFound, "there is no budget " + budget.value(),
         "create it with godwitctl budget create");
    return nullptr;
  }
  return &found->second;
}

Grant* LedgerEdit::FindGrant(const base::BudgetId& budget,
                             const base::GrantId& grant) {
  Budget* const owner = FindBudget(budget);
  if (owner == nullptr) {
    return nullptr;
  }
  const auto found = owner->grants.find(grant);
  if (found == owner->grants.end()) {
    Fail(ErrorKind::kStale, "grant " + grant.value() + " is closed",
         "draw a new grant");
    return nullptr;
  }
  return &found->second;
}

Grant* LedgerEdit::FindActive(const base::BudgetId& budget,
                              const base::GrantId& grant) {
  Grant* const found = FindGrant(budget, grant);
  if (found != nullptr && found->state != GrantState::kActive) {
    Fail(ErrorKind::kStale, "grant " + grant.value() + " is sealed",
         "draw a new grant");
    return nullptr;
  }
  return found;
}

AgentAccount* LedgerEdit::FindOpenAccount(const base::BudgetId& budget,
                                          const base::GrantId& grant,
                                          const base::Incarnation& agent) {
  Grant* const owner = FindGrant(budget, grant);
  if (owner == nullptr) {
    return nullptr;
  }
  const auto found = owner->agents.find(agent);
  if (found == owner->agents.end()) {
    Fail(ErrorKind::kNotFound,
         "grant " + grant.value() + " does not list agent " + agent.value(),
         "list the agent before it is used");
    return nullptr;
  }
  if (found->second.state != AccountState::kOpen) {
    Fail(ErrorKind::kStale,
         "the account of agent " + agent.value() + " is finished",
         "read the record again");
    return nullptr;
  }
  return &found->second;
}

bool LedgerEdit::Draw(const base::BudgetId& budget,
                      const base::GrantId& grant,
                      const base::Incarnation& holder,
                      Tokens amount) {
  Budget* const owner = FindBudget(budget);
  if (owner == nullptr) {
    return false;
  }
  if (amount < 0) {
    return Fail(ErrorKind::kInvalidArgument, "a draw can't be negative",
                "use Shrink to give back");
  }
  if (amount > owner->free()) {
    return Fail(ErrorKind::kBudgetExhausted,
                "budget " + budget.value() + " has " +
                    std::to_string(owner->free()) + " tokens free",
                "top it up");
  }
  const bool is_new = owner->grants.count(grant) == 0;
  if (!is_new && FindActive(budget, grant) == nullptr) {
    return false;
  }
  Grant& target = owner->grants[grant];
  if (!is_new && target.holder != holder) {
    return Fail(ErrorKind::kConflict,
                "grant " + grant.value() + " has another holder",
                "draw a grant with a new id");
  }
  target.holder = holder;
  target.amount += amount;
  changed_ |= is_new || amount > 0;
  return true;
}

bool LedgerEdit::ListAgents(const base::BudgetId& budget,
                            const base::GrantId& grant,
                            const std::vector<base::Incarnation>& agents) {
  Grant* const found = FindActive(budget, grant);
  if (found == nullptr) {
    return false;
  }
  for (const auto& agent : agents) {
    changed_ |= found->agents.emplace(agent, AgentAccount{}).second;
  }
  return true;
}

bool LedgerEdit::Settle(const base::BudgetId& budget,
                        const base::GrantId& grant,
                        const base::Incarnation& agent,
                        Tokens billed) {
  AgentAccount* const account = FindOpenAccount(budget, grant, agent);
  if (account == nullptr) {
    return false;
  }
  const Grant& owner = *FindGrant(budget, grant);
  if (billed > account->billed + (owner.amount - owner.billed())) {
    return Fail(ErrorKind::kConflict,
                "usage exceeds grant " + grant.value() + " of " +
                    std::to_string(owner.amount) + " tokens",
                "check the agent's account");
  }
  if (billed > account->billed) {
    account->billed = billed;
    changed_ = true;
  }
  return true;
}

bool LedgerEdit::Shrink(const base::BudgetId& budget,
                        const base::GrantId& grant,
                        Tokens amount) {
  Grant* const found = FindActive(budget, grant);
  if (found == nullptr) {
    return false;
  }
  if (amount < 0 || amount > found->amount - found->billed()) {
    return Fail(ErrorKind::kConflict,
                "grant " + grant.value() + " has less than " +
                    std::to_string(amount) + " tokens unbilled",
                "give back less");
  }
  found->amount -= amount;
  changed_ |= amount > 0;
  return true;
}

bool LedgerEdit::RemoveAgent(const base::BudgetId& budget,
                             const base::GrantId& grant,
                             const base::Incarnation& agent,
                             Tokens unaccounted) {
  Grant* const found = FindActive(budget, grant);
  if (found == nullptr || FindOpenAccount(budget, grant, agent) == nullptr) {
    return false;
  }
  if (unaccounted < 0 || unaccounted > found->amount - found->billed()) {
    return Fail(ErrorKind::kConflict,
                "more is unaccounted than grant " + grant.value() + " holds",
                "settle the grant first");
  }
  Budget& owner = *FindBudget(budget);
  const Tokens billed = found->agents.at(agent).billed;
  owner.billed += billed;
  owner.held += unaccounted;
  found->amount -= billed + unaccounted;
  found->agents.erase(agent);
  changed_ = true;
  return true;
}

bool LedgerEdit::ReturnGrant(const base::BudgetId& budget,
                             const base::GrantId& grant) {
  const Grant* const found = FindActive(budget, grant);
  if (found == nullptr) {
    return false;
  }
  Budget& owner = *FindBudget(budget);
  owner.billed += found->billed();
  owner.grants.erase(grant);
  changed_ = true;
  return true;
}

bool LedgerEdit::Seal(const base::BudgetId& budget,
                      const base::GrantId& grant) {
  Grant* const found = FindGrant(budget, grant);
  if (found == nullptr) {
    return false;
  }
  changed_ |= found->state != GrantState::kSealed;
  found->state = GrantState::kSealed;
  return true;
}

bool LedgerEdit::FinishAgent(const base::BudgetId& budget,
                             const base::GrantId& grant,
                             const base::Incarnation& agent,
                             Tokens billed) {
  const Grant* const found = FindGrant(budget, grant);
  if (found == nullptr) {
    return false;
  }
  if (found->state != GrantState::kSealed) {
    return Fail(ErrorKind::kConflict,
                "grant " + grant.value() + " is not sealed", "seal it first");
  }
  if (!Settle(budget, grant, agent, billed)) {
    return false;
  }
  FindOpenAccount(budget, grant, agent)->state = AccountState::kFinal;
  changed_ = true;
  return true;
}

bool LedgerEdit::MarkAgentLost(const base::BudgetId& budget,
                               const base::GrantId& grant,
                               const base::Incarnation& agent) {
  const Grant* const found = FindGrant(budget, grant);
  if (found == nullptr) {
    return false;
  }
  if (found->state != GrantState::kSealed) {
    return Fail(ErrorKind::kConflict,
                "grant " + grant.value() + " is not sealed", "seal it first");
  }
  AgentAccount* const account = FindOpenAccount(budget, grant, agent);
  if (account == nullptr) {
    return false;
  }
  account->state = AccountState::kLost;
  changed_ = true;
  return true;
}

bool LedgerEdit::Close(const base::BudgetId& budget,
                       const base::GrantId& grant) {
  const Grant* const found = FindGrant(budget, grant);
  if (found == nullptr) {
    return false;
  }
  const auto in_state = [found](AccountState state) {
    return std::any_of(
        found->agents.begin(), found->agents.end(),
        [state](const auto& entry) { return entry.second.state == state; });
  };
  if (found->state != GrantState::kSealed || in_state(AccountState::kOpen)) {
    return Fail(ErrorKind::kConflict,
                "grant " + grant.value() + " has open accounts",
                "wait for the reports of its agents");
  }
  Budget& owner = *FindBudget(budget);
  owner.billed += found->billed();
  if (in_state(AccountState::kLost)) {
    owner.held += found->amount - found->billed();
  }
  owner.grants.erase(grant);
  changed_ = true;
  return true;
}

bool LedgerEdit::WriteOff(const base::BudgetId& budget,
                          Tokens amount,
                          bool bill) {
  Budget* const found = FindBudget(budget);
  if (found == nullptr) {
    return false;
  }
  if (amount <= 0 || amount > found->held) {
    return Fail(ErrorKind::kConflict,
                "budget " + budget.value() + " holds " +
                    std::to_string(found->held) + " unaccounted tokens",
                "write off between 1 and that many");
  }
  found->held -= amount;
  found->billed += bill ? amount : 0;
  changed_ = true;
  return true;
}

bool LedgerEdit::SetShortfall(const base::BudgetId& budget,
                              const base::Incarnation& holder,
                              Tokens amount) {
  Budget* const found = FindBudget(budget);
  if (found == nullptr) {
    return false;
  }
  const auto recorded = found->wants.find(holder);
  const Tokens present = recorded == found->wants.end() ? 0 : recorded->second;
  if (amount == present) {
    return true;
  }
  if (amount <= 0) {
    found->wants.erase(holder);
  } else {
    found->wants[holder] = amount;
  }
  changed_ = true;
  return true;
}

void LedgerEdit::SetEra(int64_t era) {
  changed_ |= record_.era != era;
  record_.era = era;
}

void LedgerEdit::SetWrite(base::WriteId write) {
  record_.write = std::move(write);
}

}  // namespace godwit::ledger
