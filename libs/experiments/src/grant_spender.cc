#include "grant_spender.h"

#include <algorithm>

namespace godwit::experiments {
namespace {

using base::Tokens;

// Longest time that a request waits for a draw.
constexpr base::Millis kReserveTimeout(1000);
// Period of writes of usage and, for even split, of draws up to the current
// limit.
constexpr base::Millis kWritePeriod(2000);
// A fixed grant is the even share of a router divided by this.
constexpr Tokens kPartsOfShare = 10;

}  // namespace

GrantSpender::GrantSpender(const SpenderSetup& setup, Sizing sizing)
    : setup_(setup),
      sizing_(sizing),
      queue_(setup.shard_count, kReserveTimeout) {
  for (const auto& budget : setup.budgets) {
    accounts_[budget].grant =
        base::GrantId(setup.self.value() + "/" + budget.value());
  }
}

Tokens GrantSpender::RequestedAmount(const ledger::Budget& budget,
                                     Tokens drawn,
                                     Tokens shortfall) const {
  const Tokens share = budget.limit / setup_.routers;
  if (sizing_ == Sizing::kEvenSplit) {
    return setup_.original ? share - drawn : 0;
  }
  return std::max(share / kPartsOfShare, shortfall);
}

void GrantSpender::Draw(base::Millis now, const base::BudgetId& budget) {
  Account& account = accounts_[budget];
  if (account.drawing) {
    return;
  }
  account.drawing = true;
  Tokens shortfall = 0;
  const Tokens spendable = account.amount - account.reserved - account.billed;
  for (const Waiting& waiting : account.waiting) {
    shortfall = std::max(shortfall, waiting.amount - spendable);
  }
  const auto edit = [=, grant = account.grant](ledger::LedgerEdit& edit) {
    const ledger::Budget& stored = edit.record().budgets.at(budget);
    const auto found = stored.grants.find(grant);
    const Tokens drawn =
        found == stored.grants.end() ? 0 : found->second.amount;
    const Tokens requested =
        std::min(stored.free(), RequestedAmount(stored, drawn, shortfall));
    return requested > 0 && requested >= shortfall &&
           edit.Draw(budget, grant, setup_.self, requested);
  };
  queue_.Add(now, budget, edit, [this, budget](bool stored) {
    Account& drawn = accounts_[budget];
    drawn.drawing = false;
    drawn.refused_draw = !stored;
    if (stored) {
      drawn.amount = queue_.last_read(budget)->grants.at(drawn.grant).amount;
    }
  });
}

void GrantSpender::Reserve(base::Millis now,
                           const base::AttemptId& attempt,
                           const base::BudgetId& budget,
                           Tokens amount,
                           SpenderOutput& out) {
  Account& account = accounts_[budget];
  account.waiting.push_back({attempt, amount, now + kReserveTimeout});
  account.refused_draw = false;
  Serve(now, budget, account, out);
  queue_.Tick(now, out);
}

void GrantSpender::Settle(base::Millis now,
                          const base::AttemptId& attempt,
                          const base::Incarnation& agent,
                          Tokens billed,
                          SpenderOutput& out) {
  const Reservation reservation = reservations_[attempt];
  reservations_.erase(attempt);
  Account& account = accounts_[reservation.budget];
  account.reserved -= reservation.amount;
  account.billed += billed;
  account.billed_at[agent] += billed;
  account.dirty = true;
  Serve(now, reservation.budget, account, out);
}

void GrantSpender::Serve(base::Millis now,
                         const base::BudgetId& budget,
                         Account& account,
                         SpenderOutput& out) {
  const auto spendable = [&] {
    return account.amount - account.reserved - account.billed;
  };
  auto& waiting = account.waiting;
  while (!waiting.empty() && waiting.front().amount <= spendable()) {
    account.reserved += waiting.front().amount;
    reservations_[waiting.front().attempt] = {budget, waiting.front().amount};
    out.granted.push_back({waiting.front().attempt, account.grant});
    waiting.pop_front();
  }
  const bool fixed = sizing_ == Sizing::kFixed;
  const bool low =
      account.amount > 0 &&
      spendable() < account.amount / kPartsOfShare / setup_.routers;
  if (fixed && !account.refused_draw && (!waiting.empty() || low)) {
    Draw(now, budget);
  }
  while (!waiting.empty() &&
         (!account.drawing || now >= waiting.front().deadline)) {
    out.refused.push_back(waiting.front().attempt);
    waiting.pop_front();
  }
}

void GrantSpender::ServeAll(base::Millis now, SpenderOutput& out) {
  for (auto& [budget, account] : accounts_) {
    Serve(now, budget, account, out);
  }
}

void GrantSpender::WriteUsage(base::Millis now, const base::BudgetId& budget) {
  Account& account = accounts_[budget];
  account.dirty = false;
  const auto edit = [=, grant = account.grant,
                     usage = account.billed_at](ledger::LedgerEdit& edit) {
    for (const auto& [agent, billed] : usage) {
      edit.ListAgents(budget, grant, {agent});
      edit.Settle(budget, grant, agent, billed);
    }
    return edit.changed();
  };
  queue_.Add(now, budget, edit, nullptr);
}

void GrantSpender::Tick(base::Millis now, SpenderOutput& out) {
  if (now >= next_write_) {
    next_write_ = now + kWritePeriod;
    for (auto& [budget, account] : accounts_) {
      if (sizing_ == Sizing::kEvenSplit) {
        Draw(now, budget);
      }
      if (account.dirty) {
        WriteUsage(now, budget);
      }
    }
  }
  queue_.Tick(now, out);
  ServeAll(now, out);
}

}  // namespace godwit::experiments
