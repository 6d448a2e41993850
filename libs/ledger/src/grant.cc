#include "ledger/grant.h"

namespace godwit::ledger {

base::Tokens Grant::billed() const noexcept {
  base::Tokens sum = 0;
  for (const auto& [agent, account] : agents) {
    sum += account.billed;
  }
  return sum;
}

void Grant::FinishAccounts() {
  const AccountState state =
      billed() < amount ? AccountState::kLost : AccountState::kFinal;
  for (auto& [agent, account] : agents) {
    account.state = state;
  }
}

}  // namespace godwit::ledger
