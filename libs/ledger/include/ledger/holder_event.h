#ifndef LEDGER_HOLDER_EVENT_H_
#define LEDGER_HOLDER_EVENT_H_

#include <variant>

#include "ledger/agent_gone.h"
#include "ledger/agent_usage_reported.h"
#include "ledger/agents_changed.h"
#include "ledger/agents_on_record.h"
#include "ledger/drain_requested.h"
#include "ledger/live_holders.h"
#include "ledger/reserve_requested.h"
#include "ledger/run_released.h"
#include "ledger/run_settled.h"
#include "ledger/run_started.h"
#include "ledger/tick.h"
#include "platform/kv_read_done.h"
#include "platform/kv_write_done.h"

namespace godwit::ledger {

// Anything that a BudgetHolder reacts to.
using HolderEvent = std::variant<ReserveRequested,
                                 RunStarted,
                                 RunSettled,
                                 RunReleased,
                                 AgentsChanged,
                                 AgentGone,
                                 AgentsOnRecord,
                                 AgentUsageReported,
                                 LiveHolders,
                                 DrainRequested,
                                 Tick,
                                 platform::KvReadDone,
                                 platform::KvWriteDone>;

}  // namespace godwit::ledger

#endif  // LEDGER_HOLDER_EVENT_H_
