#ifndef CLAIMS_CLAIM_WRITER_H_
#define CLAIMS_CLAIM_WRITER_H_

#include <memory>
#include <vector>

#include "base/ids.h"
#include "base/millis.h"
#include "claims/claim_command.h"
#include "claims/claim_event.h"
#include "claims/claim_policy.h"

namespace godwit::claims {

// Stores claims on behalf of a router: combines many claims into one
// compare-and-swap, with at most one write in flight for each KV key. A state
// machine without I/O. Not thread-safe.
class ClaimWriter {
 public:
  // `self` is the incarnation of this router. Times passed to Step must not
  // decrease.
  ClaimWriter(base::Incarnation self, ClaimPolicy policy);
  ~ClaimWriter();
  ClaimWriter(ClaimWriter&&) noexcept;
  ClaimWriter& operator=(ClaimWriter&&) noexcept;

  // Handles one event. `wall_now` is the time used to stamp and prune claims.
  // The returned commands must be executed in order.
  std::vector<ClaimCommand> Step(base::Millis now,
                                 base::Millis wall_now,
                                 const ClaimEvent& event);

 private:
  struct State;
  std::unique_ptr<State> state_;
};

}  // namespace godwit::claims

#endif  // CLAIMS_CLAIM_WRITER_H_
