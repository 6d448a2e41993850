#ifndef LEDGER_SPEND_PROMISE_H_
#define LEDGER_SPEND_PROMISE_H_

#include <map>
#include <tuple>

#include "base/ids.h"
#include "base/millis.h"

namespace godwit::ledger {

// Value of a router's own KV key: an upper bound of what the router spends of
// its grants. It holds until the router writes another one or has not reached
// the KV for the promise duration. An incarnation of the router that starts
// within that time knows how much its predecessor can have spent. No other
// process writes the key.
struct SpendPromise {
  base::Incarnation holder;
  // Time on the holder's monotonic clock, not later than any write that
  // contains it.
  base::Millis clock;
  // Wall clock minus monotonic clock; changes when the VM restarts.
  base::Millis clock_offset;
  // Maximum spend by budget; zero for a budget that is missing.
  std::map<base::BudgetId, base::Tokens> most;

  friend bool operator==(const SpendPromise& a, const SpendPromise& b) {
    return std::tie(a.holder, a.clock, a.clock_offset, a.most) ==
           std::tie(b.holder, b.clock, b.clock_offset, b.most);
  }
  friend bool operator!=(const SpendPromise& a, const SpendPromise& b) {
    return !(a == b);
  }
};

}  // namespace godwit::ledger

#endif  // LEDGER_SPEND_PROMISE_H_
