#ifndef LEDGER_SPEND_PROMISE_H_
#define LEDGER_SPEND_PROMISE_H_

#include <tuple>

#include "base/ids.h"
#include "base/millis.h"

namespace godwit::ledger {

// What a holder says that it will have spent of a grant at most, until it says
// more or has not reached the KV for an agreed time. A later life of the holder
// that begins within that time knows what the earlier one can have spent.
struct SpendPromise {
  base::Tokens most = 0;
  // Of the holder's monotonic clock, no later than any write that carries it.
  base::Millis clock;
  // Wall clock less monotonic clock: differs once the VM was started again.
  base::Millis clock_offset;

  friend bool operator==(const SpendPromise& a, const SpendPromise& b) {
    return std::tie(a.most, a.clock, a.clock_offset) ==
           std::tie(b.most, b.clock, b.clock_offset);
  }
  friend bool operator!=(const SpendPromise& a, const SpendPromise& b) {
    return !(a == b);
  }
};

}  // namespace godwit::ledger

#endif  // LEDGER_SPEND_PROMISE_H_
