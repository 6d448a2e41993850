#ifndef LEDGER_BUDGET_MANAGER_COMMAND_H_
#define LEDGER_BUDGET_MANAGER_COMMAND_H_

#include <variant>

#include "ledger/drained.h"
#include "ledger/reserve_granted.h"
#include "ledger/reserve_refused.h"
#include "ledger/send_forget_grant.h"
#include "ledger/send_seal_grant.h"
#include "platform/kv_read.h"
#include "platform/kv_write.h"

namespace godwit::ledger {

// Any command of a BudgetManager. Operation numbers of reads and writes are
// unique within one manager.
using BudgetManagerCommand = std::variant<ReserveGranted,
                                          ReserveRefused,
                                          SendSealGrant,
                                          SendForgetGrant,
                                          Drained,
                                          platform::KvRead,
                                          platform::KvWrite>;

}  // namespace godwit::ledger

#endif  // LEDGER_BUDGET_MANAGER_COMMAND_H_
