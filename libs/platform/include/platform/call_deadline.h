#ifndef PLATFORM_CALL_DEADLINE_H_
#define PLATFORM_CALL_DEADLINE_H_

#include "base/millis.h"

namespace godwit::platform {

// Decides when a call to the KV counts as unanswered: when no byte of its
// answer arrived for a while. A large answer on a narrow link that also carries
// service takes seconds and is read to its end, since a call that starts over
// takes just as long. No I/O.
class CallDeadline {
 public:
  // Time without a byte of the answer after which a call is given up. Answers
  // usually take milliseconds; a slow KV takes a quarter of a second.
  static constexpr base::Millis kSilenceTimeout{1000};

  // `wait` is the time for which the KV may hold the call back by request.
  CallDeadline(base::Millis started_at, base::Millis wait);

  // Records that bytes of the answer arrived.
  void OnProgress(base::Millis now);
  bool HasPassed(base::Millis now) const { return now >= at_; }

 private:
  // Bound that progress does not extend.
  base::Millis latest_;
  base::Millis at_;
};

}  // namespace godwit::platform

#endif  // PLATFORM_CALL_DEADLINE_H_
