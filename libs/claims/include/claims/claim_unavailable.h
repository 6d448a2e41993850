#ifndef CLAIMS_CLAIM_UNAVAILABLE_H_
#define CLAIMS_CLAIM_UNAVAILABLE_H_

#include <tuple>

#include "base/error.h"
#include "base/ids.h"
#include "base/millis.h"

namespace godwit::claims {

// Command: the claim could not be made; the attempt must never start. A claim
// that is stored late names an attempt that no agent knows, and can be replaced
// once that attempt is tombstoned.
struct ClaimUnavailable {
  base::AttemptId attempt;
  // kUnavailable, kOverloaded or kCorrupt, with message and remedy.
  base::Error error;
  // Delay after which the caller should retry.
  base::Millis retry_after;

  friend bool operator==(const ClaimUnavailable& a, const ClaimUnavailable& b) {
    return std::tie(a.attempt, a.error, a.retry_after) ==
           std::tie(b.attempt, b.error, b.retry_after);
  }
  friend bool operator!=(const ClaimUnavailable& a, const ClaimUnavailable& b) {
    return !(a == b);
  }
};

}  // namespace godwit::claims

#endif  // CLAIMS_CLAIM_UNAVAILABLE_H_
