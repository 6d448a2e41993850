#ifndef CLAIMS_CLAIM_RECORD_H_
#define CLAIMS_CLAIM_RECORD_H_

#include <map>
#include <tuple>

#include "base/digest.h"
#include "base/ids.h"
#include "claims/claim.h"

namespace godwit::claims {

// Value of one claims key in the KV.
struct ClaimRecord {
  // Id of the write that created this version.
  base::WriteId write;
  // Claims, keyed by the digest of organisation and idempotency key.
  std::map<base::Digest, Claim> claims;

  // Removes claims made before `oldest`.
  void Prune(base::Millis oldest);

  friend bool operator==(const ClaimRecord& a, const ClaimRecord& b) {
    return std::tie(a.write, a.claims) == std::tie(b.write, b.claims);
  }
  friend bool operator!=(const ClaimRecord& a, const ClaimRecord& b) {
    return !(a == b);
  }
};

}  // namespace godwit::claims

#endif  // CLAIMS_CLAIM_RECORD_H_
