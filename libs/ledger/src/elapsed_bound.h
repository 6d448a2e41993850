#ifndef LEDGER_ELAPSED_BOUND_H_
#define LEDGER_ELAPSED_BOUND_H_

#include <cstddef>
#include <optional>

#include "base/millis.h"
#include "wall_clocks.h"

namespace godwit::ledger {

// Upper bound of the time between two moments, from the wall clocks of the same
// routers at both. The clocks may differ from each other by any amount, as long
// as fewer than half of them jump in between. Load: a loss of power of all
// routers, after which each asks the others for their clocks. No I/O.
class ElapsedBound {
 public:
  // Fewer clocks tell nothing: one of them may jump.
  static constexpr size_t kMinClocks = 3;

  // `before` has lower bounds of the clocks at the first moment, `after` upper
  // bounds at the second one, possibly of some of the routers only.
  ElapsedBound(const WallClocks& before, const WallClocks& after);

  // Returns no value if too few clocks are known, or if the clocks ran
  // backwards.
  std::optional<base::Millis> at_most() const noexcept { return at_most_; }
  // True if the clocks that are known suffice for a bound, and if all of them
  // are known, so that the bound will not improve.
  bool has_quorum() const noexcept { return has_quorum_; }
  bool is_complete() const noexcept { return is_complete_; }

 private:
  std::optional<base::Millis> at_most_;
  bool has_quorum_ = false;
  bool is_complete_ = false;
};

}  // namespace godwit::ledger

#endif  // LEDGER_ELAPSED_BOUND_H_
