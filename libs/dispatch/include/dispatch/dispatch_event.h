#ifndef DISPATCH_DISPATCH_EVENT_H_
#define DISPATCH_DISPATCH_EVENT_H_

#include <variant>

#include "dispatch/attempt_answered.h"
#include "dispatch/attempt_ended.h"
#include "dispatch/attempt_failed.h"
#include "dispatch/attempt_paused.h"
#include "dispatch/attempt_progressed.h"
#include "dispatch/attempt_received.h"
#include "dispatch/backend_registered.h"
#include "dispatch/backend_removed.h"
#include "dispatch/backends_listed.h"
#include "dispatch/call_arrived.h"
#include "dispatch/caller_disconnected.h"
#include "dispatch/configuration_tracking.h"
#include "dispatch/drain_requested.h"
#include "dispatch/evacuations_changed.h"
#include "dispatch/peer_message_received.h"
#include "dispatch/router_message_received.h"
#include "dispatch/routers_listed.h"
#include "dispatch/routing_table_updated.h"
#include "dispatch/stop_requested.h"
#include "dispatch/store_availability_changed.h"
#include "dispatch/store_era_changed.h"
#include "dispatch/tick.h"
#include "platform/kv_read_done.h"
#include "platform/kv_write_done.h"

namespace godwit::dispatch {

// Input of a Dispatcher.
using DispatchEvent = std::variant<CallArrived,
                                   CallerDisconnected,
                                   AttemptAnswered,
                                   AttemptReceived,
                                   AttemptPaused,
                                   AttemptProgressed,
                                   AttemptEnded,
                                   AttemptFailed,
                                   RoutingTableUpdated,
                                   BackendsListed,
                                   BackendRegistered,
                                   BackendRemoved,
                                   StoreAvailabilityChanged,
                                   StoreEraChanged,
                                   EvacuationsChanged,
                                   ConfigurationTracking,
                                   RoutersListed,
                                   StopRequested,
                                   DrainRequested,
                                   PeerMessageReceived,
                                   RouterMessageReceived,
                                   platform::KvReadDone,
                                   platform::KvWriteDone,
                                   Tick>;

}  // namespace godwit::dispatch

#endif  // DISPATCH_DISPATCH_EVENT_H_
