#ifndef CLAIMS_CLAIM_EXISTS_H_
#define CLAIMS_CLAIM_EXISTS_H_

#include <tuple>

#include "base/ids.h"
#include "claims/claim.h"

namespace godwit::claims {

// Command: another attempt holds the claim.
struct ClaimExists {
  base::AttemptId attempt;
  // The stored claim; its body digest may differ from that of the request.
  Claim claim;

  friend bool operator==(const ClaimExists& a, const ClaimExists& b) {
    return std::tie(a.attempt, a.claim) == std::tie(b.attempt, b.claim);
  }
  friend bool operator!=(const ClaimExists& a, const ClaimExists& b) {
    return !(a == b);
  }
};

}  // namespace godwit::claims

#endif  // CLAIMS_CLAIM_EXISTS_H_
