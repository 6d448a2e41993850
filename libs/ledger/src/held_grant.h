#ifndef LEDGER_HELD_GRANT_H_
#define LEDGER_HELD_GRANT_H_

#include <map>

#include "base/ids.h"

namespace godwit::ledger {

// A router's accounting for its grant of a budget.
struct HeldGrant {
  base::GrantId id;
  // True once a stored version of the record contained the grant.
  bool stored = false;
  // Usage at each agent since the grant began.
  std::map<base::Incarnation, base::Tokens> billed;
  // Reservations lost with an agent that the record does not count as held yet.
  std::map<base::Incarnation, base::Tokens> unaccounted;
  // Sum of open reservations and of `unaccounted`.
  base::Tokens reserved = 0;

  // Returns the tokens that are billed or reserved.
  base::Tokens committed() const noexcept {
    base::Tokens sum = reserved;
    for (const auto& [agent, tokens] : billed) {
      sum += tokens;
    }
    return sum;
  }
};

}  // namespace godwit::ledger

#endif  // LEDGER_HELD_GRANT_H_
