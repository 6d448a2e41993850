#ifndef ROUTER_ROUTER_EVENT_H_
#define ROUTER_ROUTER_EVENT_H_

#include <variant>

#include "platform/kv_read_done.h"
#include "platform/kv_write_done.h"
#include "router/answer_bytes_consumed.h"
#include "router/caller_disconnected.h"
#include "router/config_in_force.h"
#include "router/drain_requested.h"
#include "router/drain_timed_out.h"
#include "router/fleet_record_received.h"
#include "router/leases_listed.h"
#include "router/link_closed.h"
#include "router/link_message_received.h"
#include "router/link_opened.h"
#include "router/request_received.h"
#include "router/stop_requested.h"
#include "router/tick.h"
#include "router/vms_listed.h"

namespace godwit::router {

// Any input of a RouterCore.
using RouterEvent = std::variant<RequestReceived,
                                 CallerDisconnected,
                                 AnswerBytesConsumed,
                                 LinkOpened,
                                 LinkClosed,
                                 LinkMessageReceived,
                                 platform::KvReadDone,
                                 platform::KvWriteDone,
                                 ConfigInForce,
                                 FleetRecordReceived,
                                 VmsListed,
                                 LeasesListed,
                                 StopRequested,
                                 DrainRequested,
                                 DrainTimedOut,
                                 Tick>;

}  // namespace godwit::router

#endif  // ROUTER_ROUTER_EVENT_H_
