#include "ledger/grant.h"

namespace godwit::ledger {

base::Tokens Grant::billed() const noexcept {
  base::Tokens sum = 0;
  for (const auto& [agent, account] : agents) {
    sum += account.billed;
  }
  return sum;
}

}  // namespace godwit::ledger
