#ifndef LEDGER_GRANT_STATE_H_
#define LEDGER_GRANT_STATE_H_

#include <cstdint>

namespace godwit::ledger {

// Whether a grant may still be spent. The values are stored; only append new
// ones.
enum class GrantState : uint8_t {
  // Its holder may spend it.
  kActive = 0,
  // No further runs start under it; its usage is being collected.
  kSealed = 1,
};

}  // namespace godwit::ledger

#endif  // LEDGER_GRANT_STATE_H_
