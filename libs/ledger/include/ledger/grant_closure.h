#ifndef LEDGER_GRANT_CLOSURE_H_
#define LEDGER_GRANT_CLOSURE_H_

#include <cstdint>

namespace godwit::ledger {

// What the amount of a retired grant stands for. The values are stored; only
// append new ones.
enum class GrantClosure : uint8_t {
  // The grant is not retired.
  kNone = 0,
  // All that the router that closed it knew to be set aside.
  kWhole = 1,
  // The holder can't have used more.
  kBounded = 2,
  // The sum of the earliest retired grants of a process.
  kFolded = 3,
};

}  // namespace godwit::ledger

#endif  // LEDGER_GRANT_CLOSURE_H_
