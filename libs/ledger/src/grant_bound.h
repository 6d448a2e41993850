#ifndef LEDGER_GRANT_BOUND_H_
#define LEDGER_GRANT_BOUND_H_

#include <cstdint>
#include <tuple>

#include "base/ids.h"

namespace godwit::ledger {

// What a router states to be set aside for it.
struct GrantBound {
  base::Tokens amount = 0;
  // Orders the amount among those that the router set (Grant::revision).
  int64_t revision = 0;
  // That of the grant (Grant::sequence); zero if it is not known.
  int64_t sequence = 0;

  friend bool operator==(const GrantBound& a, const GrantBound& b) {
    return std::tie(a.amount, a.revision, a.sequence) ==
           std::tie(b.amount, b.revision, b.sequence);
  }
  friend bool operator!=(const GrantBound& a, const GrantBound& b) {
    return !(a == b);
  }
};

}  // namespace godwit::ledger

#endif  // LEDGER_GRANT_BOUND_H_
