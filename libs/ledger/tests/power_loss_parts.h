#ifndef LEDGER_TESTS_POWER_LOSS_PARTS_H_
#define LEDGER_TESTS_POWER_LOSS_PARTS_H_

#include "base/ids.h"

namespace godwit::ledger {

// What the promises of all routers allow at a moment and is not used, by cause.
// What they allow while the VMs are off is lost in addition.
struct PowerLossParts {
  // Sum of what the promises allow.
  base::Tokens promised = 0;
  // Neither used, reserved nor lent.
  base::Tokens advance = 0;
  // Lent, as far as the lenders know, and neither used nor reserved by the
  // borrowers.
  base::Tokens loans = 0;
  // Reserved for running requests beyond what these have used.
  base::Tokens reservations = 0;
};

}  // namespace godwit::ledger

#endif  // LEDGER_TESTS_POWER_LOSS_PARTS_H_
