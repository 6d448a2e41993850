#ifndef LEDGER_ACCOUNT_STATE_H_
#define LEDGER_ACCOUNT_STATE_H_

#include <cstdint>

namespace godwit::ledger {

// What is known of a grant's usage at one agent. Only ever moves forward. The
// values are stored; only append new ones.
enum class AccountState : uint8_t {
  // More may be used.
  kOpen = 0,
  // Sealed there and nothing runs: `billed` is the complete usage.
  kFinal = 1,
  // The agent was removed without a final report.
  kLost = 2,
};

}  // namespace godwit::ledger

#endif  // LEDGER_ACCOUNT_STATE_H_
