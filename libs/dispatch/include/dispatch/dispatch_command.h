#ifndef DISPATCH_DISPATCH_COMMAND_H_
#define DISPATCH_DISPATCH_COMMAND_H_

#include <variant>

#include "dispatch/abort_call.h"
#include "dispatch/attempt_abandoned.h"
#include "dispatch/backend_cold_changed.h"
#include "dispatch/backend_health_changed.h"
#include "dispatch/backend_limit_changed.h"
#include "dispatch/call_ended.h"
#include "dispatch/cancel_attempt.h"
#include "dispatch/content_state_changed.h"
#include "dispatch/data_centre_state_changed.h"
#include "dispatch/refuse_call.h"
#include "dispatch/relay_answer.h"
#include "dispatch/send_to_router.h"
#include "dispatch/start_attempt.h"
#include "ledger/budget_merged.h"
#include "ledger/grant_closed.h"
#include "ledger/peer_unresponsive.h"
#include "ledger/send_to_peer.h"
#include "platform/kv_read.h"
#include "platform/kv_write.h"

namespace godwit::dispatch {

// Output of a Dispatcher: actions to carry out and records to log.
using DispatchCommand = std::variant<StartAttempt,
                                     CancelAttempt,
                                     RelayAnswer,
                                     RefuseCall,
                                     AbortCall,
                                     AttemptAbandoned,
                                     CallEnded,
                                     BackendHealthChanged,
                                     BackendLimitChanged,
                                     BackendColdChanged,
                                     DataCentreStateChanged,
                                     ContentStateChanged,
                                     SendToRouter,
                                     platform::KvRead,
                                     platform::KvWrite,
                                     ledger::SendToPeer,
                                     ledger::GrantClosed,
                                     ledger::BudgetMerged,
                                     ledger::PeerUnresponsive>;

}  // namespace godwit::dispatch

#endif  // DISPATCH_DISPATCH_COMMAND_H_
