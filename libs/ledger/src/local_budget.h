#ifndef LEDGER_LOCAL_BUDGET_H_
#define LEDGER_LOCAL_BUDGET_H_

#include <deque>
#include <optional>

#include "base/ids.h"
#include "base/millis.h"
#include "burn_rate.h"
#include "held_grant.h"
#include "ledger/reserve_requested.h"

namespace godwit::ledger {

// A router's state of one budget.
struct LocalBudget {
  struct Waiting {
    ReserveRequested request;
    base::Millis deadline;
    // When it was requested.
    base::Millis since;
  };

  LocalBudget(base::BudgetId budget, int shard_of, base::Millis half_life)
      : id(std::move(budget)), shard(shard_of), burn(half_life) {}

  base::BudgetId id;
  int shard;
  BurnRate burn;
  std::optional<HeldGrant> grant;
  std::deque<Waiting> waiting;
  base::Millis used_at;
  // Below this many free tokens, the grant is refilled at once.
  base::Tokens low_water = 0;
};

}  // namespace godwit::ledger

#endif  // LEDGER_LOCAL_BUDGET_H_
