#ifndef LEDGER_CLOCK_REPLY_H_
#define LEDGER_CLOCK_REPLY_H_

#include <tuple>

#include "base/ids.h"
#include "base/millis.h"

namespace godwit::ledger {

// Answer to a ClockRequest, which it repeats: the clock was read after
// `asked_at`, however long the answer takes.
struct ClockReply {
  base::Incarnation asker;
  base::Millis asked_at;
  base::ProcessId router;
  base::Millis wall_time;

  friend bool operator==(const ClockReply& a, const ClockReply& b) {
    return std::tie(a.asker, a.asked_at, a.router, a.wall_time) ==
           std::tie(b.asker, b.asked_at, b.router, b.wall_time);
  }
  friend bool operator!=(const ClockReply& a, const ClockReply& b) {
    return !(a == b);
  }
};

}  // namespace godwit::ledger

#endif  // LEDGER_CLOCK_REPLY_H_
