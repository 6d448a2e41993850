#ifndef LEDGER_SPEND_PROMISE_H_
#define LEDGER_SPEND_PROMISE_H_

#include <cstdint>
#include <map>
#include <tuple>

#include "base/ids.h"
#include "base/millis.h"
#include "grant_bound.h"
#include "ledger/grant_use.h"
#include "spend_allowance.h"
#include "wall_clocks.h"

namespace godwit::ledger {

// Value of a router's own KV key: an upper bound of what the router spends of
// its grants, which grows with time, so that the router can spend while it does
// not reach the KV. It holds until the router writes another one. A later
// incarnation that knows how long its predecessor can have lived after writing
// it knows how much that one can have spent. No other process writes the key.
struct SpendPromise {
  base::Incarnation holder;
  // Start of the allowances on the holder's monotonic clock.
  base::Millis clock;
  // Wall clock minus monotonic clock; changes when the VM restarts.
  base::Millis clock_offset;
  // Start of the allowances in fleet time; zero if it was not known.
  base::Millis fleet_time;
  // Lower bounds of the wall clocks of some routers at the start of the
  // allowances; empty if too few were known.
  WallClocks wall_clocks;
  // Era of the KV in which it was written.
  int64_t era = 0;
  // By budget; nothing may be spent of a budget that is missing.
  std::map<base::BudgetId, SpendAllowance> allowances;
  // By budget, at the start of the allowances; missing in promises of earlier
  // versions.
  std::map<base::BudgetId, GrantUse> uses;
  // By budget, what the holder's grant set aside; missing in promises of
  // earlier versions.
  std::map<base::BudgetId, GrantBound> granted;

  friend bool operator==(const SpendPromise& a, const SpendPromise& b) {
    return std::tie(a.holder, a.clock, a.clock_offset, a.fleet_time,
                    a.wall_clocks, a.era, a.allowances, a.uses, a.granted) ==
           std::tie(b.holder, b.clock, b.clock_offset, b.fleet_time,
                    b.wall_clocks, b.era, b.allowances, b.uses, b.granted);
  }
  friend bool operator!=(const SpendPromise& a, const SpendPromise& b) {
    return !(a == b);
  }
};

}  // namespace godwit::ledger

#endif  // LEDGER_SPEND_PROMISE_H_
