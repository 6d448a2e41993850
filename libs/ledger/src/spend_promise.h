#ifndef LEDGER_SPEND_PROMISE_H_
#define LEDGER_SPEND_PROMISE_H_

#include <map>
#include <tuple>

#include "base/ids.h"
#include "base/millis.h"

namespace godwit::ledger {

// Value of a router's own KV key: how much it will have spent of its grants at
// most, until it says more or has not reached the KV for an agreed time. A
// later life of the router that begins within that time knows what the earlier
// one can have spent. No other process writes the key.
struct SpendPromise {
  base::Incarnation holder;
  // Of the holder's monotonic clock, no later than any write that carries it.
  base::Millis clock;
  // Wall clock less monotonic clock: differs once the VM was started again.
  base::Millis clock_offset;
  // By budget; nothing is spent of one that is missing.
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
