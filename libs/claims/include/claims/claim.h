#ifndef CLAIMS_CLAIM_H_
#define CLAIMS_CLAIM_H_

#include <tuple>

#include "base/digest.h"
#include "base/ids.h"
#include "base/millis.h"

namespace godwit::claims {

// The right of one agent incarnation to run a request that may run at most
// once.
struct Claim {
  // Digest of method, path and body.
  base::Digest body_digest;
  // The attempt that may run.
  base::AttemptId attempt;
  // The only agent incarnation that may run it.
  base::Incarnation agent;
  // Wall time of the claim.
  base::Millis at;

  friend bool operator==(const Claim& a, const Claim& b) {
    return std::tie(a.body_digest, a.attempt, a.agent, a.at) ==
           std::tie(b.body_digest, b.attempt, b.agent, b.at);
  }
  friend bool operator!=(const Claim& a, const Claim& b) { return !(a == b); }
};

}  // namespace godwit::claims

#endif  // CLAIMS_CLAIM_H_
