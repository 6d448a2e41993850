#ifndef CLAIMS_CLAIM_POLICY_H_
#define CLAIMS_CLAIM_POLICY_H_

#include <cstddef>
#include <tuple>

#include "base/millis.h"

namespace godwit::claims {

// Settings of a ClaimWriter.
struct ClaimPolicy {
  // Number of KV keys over which the claims of the fleet are distributed.
  int shard_count = 64;
  // Time for which a claim is kept.
  base::Millis retention = base::Millis(24 * 60 * 60 * 1000);
  // Minimum time between two writes of a shard.
  base::Millis write_spacing = base::Millis(10);
  // Maximum time that an attempt waits for its claim.
  base::Millis max_wait = base::Millis(2000);
  // Time without a usable response after which the KV is considered
  // unavailable, so that attempts no longer wait for it.
  base::Millis outage_timeout = base::Millis(500);
  // Delay after which a caller that was refused because the KV is unavailable
  // should retry.
  base::Millis retry_after = base::Millis(2000);
  // Maximum size of a stored record, in bytes.
  size_t max_bytes = 900 * 1000;

  friend bool operator==(const ClaimPolicy& a, const ClaimPolicy& b) {
    return std::tie(a.shard_count, a.retention, a.write_spacing, a.max_wait,
                    a.outage_timeout, a.retry_after, a.max_bytes) ==
           std::tie(b.shard_count, b.retention, b.write_spacing, b.max_wait,
                    b.outage_timeout, b.retry_after, b.max_bytes);
  }
  friend bool operator!=(const ClaimPolicy& a, const ClaimPolicy& b) {
    return !(a == b);
  }
};

}  // namespace godwit::claims

#endif  // CLAIMS_CLAIM_POLICY_H_
