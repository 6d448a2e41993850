#include "ledger_history.h"

#include <algorithm>
#include <utility>

#include "base/millis.h"
#include "ledger/ledger_edit.h"

namespace godwit::ledger {
namespace {

const base::BudgetId kBudget("kiosks");
const base::OrganisationId kOrganisation("lantern-line");

LedgerRecord AsEarlierVersion(LedgerRecord record) {
  for (auto& [id, budget] : record.budgets) {
    for (auto& [grant_id, grant] : budget.grants) {
      grant.closure = GrantClosure::kNone;
      grant.sequence = 0;
      grant.revision = 0;
    }
  }
  return record;
}

}  // namespace

LedgerRecord LedgerHistory::MergeBySums(const LedgerRecord& stored,
                                        const LedgerRecord& known) {
  LedgerRecord merged = AsEarlierVersion(stored);
  for (const auto& [id, budget] : AsEarlierVersion(known).budgets) {
    Budget& into = merged.budgets[id];
    into.billed = std::max(into.billed, budget.billed);
    into.held = std::max(into.held, budget.held);
    for (const auto& [grant_id, grant] : budget.grants) {
      Grant& merged_grant = into.grants[grant_id];
      merged_grant.holder = grant.holder;
      merged_grant.amount = std::max(merged_grant.amount, grant.amount);
      for (const auto& [agent, account] : grant.agents) {
        base::Tokens& billed = merged_grant.agents[agent].billed;
        billed = std::max(billed, account.billed);
      }
      merged_grant.amount =
          std::max(merged_grant.amount, merged_grant.billed());
    }
  }
  LedgerEdit edit(std::move(merged));
  edit.SetLimit(kBudget, stored.budgets.at(kBudget).limit, base::Millis());
  return edit.record();
}

LedgerHistory::LedgerHistory(size_t routers,
                             base::Tokens limit,
                             MergeRule merge)
    : merge_(std::move(merge)) {
  LedgerEdit edit((LedgerRecord()));
  edit.CreateBudget(kBudget, kOrganisation);
  edit.SetLimit(kBudget, limit, base::Millis());
  records_.push_back(edit.record());
  for (size_t i = 0; i < routers; ++i) {
    Router router;
    router.name = "router-" + std::to_string(i);
    router.view = router.earlier = records_.back();
    routers_.push_back(std::move(router));
  }
}

void LedgerHistory::SetEarlierVersion(size_t router) {
  routers_[router].is_earlier_version = true;
}

base::Incarnation LedgerHistory::IncarnationOf(const Router& router) const {
  return base::Incarnation(router.name + "." +
                           std::to_string(router.incarnation));
}

base::GrantId LedgerHistory::GrantOf(const Router& router) const {
  return base::GrantId(IncarnationOf(router).value() + "/" + kBudget.value());
}

base::Tokens LedgerHistory::AmountOf(const Router& router) const {
  const auto& grants = router.view.budgets.at(kBudget).grants;
  const auto found = grants.find(GrantOf(router));
  return found == grants.end() ? 0 : found->second.amount;
}

void LedgerHistory::Store(Router& router, LedgerRecord record) {
  if (router.is_earlier_version) {
    record = AsEarlierVersion(std::move(record));
  }
  router.view = record;
  records_.push_back(std::move(record));
}

void LedgerHistory::Draw(size_t index, base::Tokens amount) {
  Router& router = routers_[index];
  LedgerEdit edit(record());
  const base::GrantId grant = GrantOf(router);
  const base::Tokens free =
      std::max<base::Tokens>(0, edit.record().budgets.at(kBudget).free());
  edit.Draw(kBudget, grant, IncarnationOf(router), std::min(amount, free));
  edit.ListAgents(kBudget, grant, {IncarnationOf(router)});
  edit.NumberGrant(kBudget, grant, ++router.revision);
  Store(router, edit.record());
}

void LedgerHistory::Shrink(size_t index, base::Tokens amount) {
  Router& router = routers_[index];
  LedgerEdit edit(record());
  const base::GrantId grant = GrantOf(router);
  const base::Tokens unused = AmountOf(router) - used_[grant];
  if (edit.Shrink(kBudget, grant,
                  std::clamp<base::Tokens>(unused, 0, amount))) {
    edit.NumberGrant(kBudget, grant, ++router.revision);
    Store(router, edit.record());
  }
}

void LedgerHistory::Use(size_t index, base::Tokens amount) {
  const Router& router = routers_[index];
  base::Tokens& used = used_[GrantOf(router)];
  used += std::clamp<base::Tokens>(AmountOf(router) - used, 0, amount);
}

void LedgerHistory::Settle(size_t index) {
  Router& router = routers_[index];
  LedgerEdit edit(record());
  const base::GrantId grant = GrantOf(router);
  if (edit.Settle(kBudget, grant, IncarnationOf(router), used_[grant])) {
    Store(router, edit.record());
  }
}

void LedgerHistory::Stop(size_t index) {
  Settle(index);
  Router& router = routers_[index];
  router.is_earlier_version = false;
  const base::GrantId grant = GrantOf(router);
  LedgerEdit edit(record());
  if (edit.Retire(kBudget, grant, used_[grant], GrantClosure::kBounded)) {
    Store(router, edit.record());
  }
  ++router.incarnation;
  router.revision = 0;
}

void LedgerHistory::Crash(size_t index, std::optional<base::Tokens> advance) {
  Router& router = routers_[index];
  router.is_earlier_version = false;
  const base::GrantId grant = GrantOf(router);
  const base::Tokens amount = AmountOf(router);
  LedgerEdit edit(record());
  const base::Tokens counted =
      advance ? std::min(amount, used_[grant] + *advance) : amount;
  if (edit.Retire(kBudget, grant, counted,
                  advance ? GrantClosure::kBounded : GrantClosure::kWhole)) {
    Store(router, edit.record());
  }
  ++router.incarnation;
  router.revision = 0;
  Read(index);
}

void LedgerHistory::Fold(size_t index) {
  LedgerEdit edit(record());
  const LedgerRecord before = record();
  edit.FoldRetired(kBudget, [&before](const base::GrantId& id) {
    return before.budgets.at(kBudget).grants.at(id).amount > 0;
  });
  Store(routers_[index], edit.record());
}

void LedgerHistory::Read(size_t index) {
  routers_[index].view = record();
}

void LedgerHistory::Return(size_t copy) {
  for (Router& router : routers_) {
    router.earlier = router.view;
  }
  const LedgerRecord returned = records_[copy];
  records_.push_back(returned);
}

void LedgerHistory::MergeKnown(size_t index) {
  Router& router = routers_[index];
  Store(router, router.is_earlier_version
                    ? MergeBySums(record(), router.earlier)
                    : merge_(record(), router.earlier));
}

const Budget& LedgerHistory::budget() const {
  return record().budgets.at(kBudget);
}

base::Tokens LedgerHistory::used() const {
  base::Tokens sum = 0;
  for (const auto& [grant, used] : used_) {
    sum += used;
  }
  return sum;
}

base::Tokens LedgerHistory::committed() const {
  return budget().limit - budget().free();
}

}  // namespace godwit::ledger
