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

// The router's part in claims: writes many claims with one compare-and-swap, at
// most one write in flight for each key of the KV. A state machine without I/O;
// one thread at a time.
class ClaimWriter {
 public:
  // `self` is this router's life. Times given to Step never go backwards.
  ClaimWriter(base::Incarnation self, ClaimPolicy policy);
  ~ClaimWriter();
  ClaimWriter(ClaimWriter&&) noexcept;
  ClaimWriter& operator=(ClaimWriter&&) noexcept;

  // Reacts to one event. `wall_now` stamps and prunes claims; the commands are
  // to be carried out in order.
  std::vector<ClaimCommand> Step(base::Millis now,
                                 base::Millis wall_now,
                                 const ClaimEvent& event);

 private:
  struct State;
  std::unique_ptr<State> state_;
};

}  // namespace godwit::claims

#endif  // CLAIMS_CLAIM_WRITER_H_
