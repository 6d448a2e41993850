#include "ledger/budget.h"

namespace godwit::ledger {

base::Tokens Budget::free() const noexcept {
  base::Tokens left = limit - billed - held;
  for (const auto& [id, grant] : grants) {
    left -= grant.amount;
  }
  return left;
}

base::Tokens Budget::total_billed() const noexcept {
  base::Tokens sum = billed;
  for (const auto& [id, grant] : grants) {
    sum += grant.billed();
  }
  return sum;
}

}  // namespace godwit::ledger
