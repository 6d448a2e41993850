#ifndef LEDGER_BUDGET_MANAGER_EVENT_H_
#define LEDGER_BUDGET_MANAGER_EVENT_H_

#include <variant>

#include "ledger/agent_removed.h"
#include "ledger/agent_usage_reported.h"
#include "ledger/agents_changed.h"
#include "ledger/agents_listed.h"
#include "ledger/drain_requested.h"
#include "ledger/live_holders_listed.h"
#include "ledger/reserve_requested.h"
#include "ledger/run_released.h"
#include "ledger/run_settled.h"
#include "ledger/run_started.h"
#include "ledger/tick.h"
#include "platform/kv_read_done.h"
#include "platform/kv_write_done.h"

namespace godwit::ledger {

// Any event that a BudgetManager handles.
using BudgetManagerEvent = std::variant<ReserveRequested,
                                        RunStarted,
                                        RunSettled,
                                        RunReleased,
                                        AgentsChanged,
                                        AgentRemoved,
                                        AgentsListed,
                                        AgentUsageReported,
                                        LiveHoldersListed,
                                        DrainRequested,
                                        Tick,
                                        platform::KvReadDone,
                                        platform::KvWriteDone>;

}  // namespace godwit::ledger

#endif  // LEDGER_BUDGET_MANAGER_EVENT_H_
