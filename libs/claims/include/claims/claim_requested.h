#ifndef CLAIMS_CLAIM_REQUESTED_H_
#define CLAIMS_CLAIM_REQUESTED_H_

#include <tuple>

#include "base/digest.h"
#include "base/ids.h"
#include "base/millis.h"

namespace godwit::claims {

// Event: an attempt needs the claim for its key before it starts.
struct ClaimRequested {
  base::AttemptId attempt;
  // Digest of the organisation and its idempotency key.
  base::Digest key;
  // Digest of method, path and body.
  base::Digest body_digest;
  // The agent incarnation that would run it.
  base::Incarnation agent;
  // Attempt that is known to be tombstoned and whose claim may be replaced; may
  // be empty.
  base::AttemptId replaces;
  // The request is answered before this time.
  base::Millis expires;

  friend bool operator==(const ClaimRequested& a, const ClaimRequested& b) {
    return std::tie(a.attempt, a.key, a.body_digest, a.agent, a.replaces,
                    a.expires) == std::tie(b.attempt, b.key, b.body_digest,
                                           b.agent, b.replaces, b.expires);
  }
  friend bool operator!=(const ClaimRequested& a, const ClaimRequested& b) {
    return !(a == b);
  }
};

}  // namespace godwit::claims

#endif  // CLAIMS_CLAIM_REQUESTED_H_
