#ifndef AGENT_AGENT_EVENT_H_
#define AGENT_AGENT_EVENT_H_

#include <variant>

#include "agent/backend_data.h"
#include "agent/backend_end.h"
#include "agent/backend_failed.h"
#include "agent/backend_head.h"
#include "agent/drain_requested.h"
#include "agent/fleet_record_received.h"
#include "agent/link_down.h"
#include "agent/link_message.h"
#include "agent/link_up.h"
#include "agent/order_finished.h"
#include "agent/tick.h"

namespace godwit::agent {

// Events handled by an AgentCore.
using AgentEvent = std::variant<LinkUp,
                                LinkDown,
                                LinkMessage,
                                BackendHead,
                                BackendData,
                                BackendEnd,
                                BackendFailed,
                                OrderFinished,
                                FleetRecordReceived,
                                DrainRequested,
                                Tick>;

}  // namespace godwit::agent

#endif  // AGENT_AGENT_EVENT_H_
