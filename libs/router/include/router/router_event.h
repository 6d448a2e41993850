#ifndef ROUTER_ROUTER_EVENT_H_
#define ROUTER_ROUTER_EVENT_H_

#include <variant>

#include "platform/kv_read_done.h"
#include "platform/kv_write_done.h"
#include "router/caller_arrived.h"
#include "router/caller_drained.h"
#include "router/caller_gone.h"
#include "router/config_in_force.h"
#include "router/drain_requested.h"
#include "router/fleet_seen.h"
#include "router/leases_seen.h"
#include "router/link_closed.h"
#include "router/link_opened.h"
#include "router/link_received.h"
#include "router/tick.h"
#include "router/vms_seen.h"

namespace godwit::router {

// Anything that a RouterCore reacts to.
using RouterEvent = std::variant<CallerArrived,
                                 CallerGone,
                                 CallerDrained,
                                 LinkOpened,
                                 LinkClosed,
                                 LinkReceived,
                                 platform::KvReadDone,
                                 platform::KvWriteDone,
                                 ConfigInForce,
                                 FleetSeen,
                                 VmsSeen,
                                 LeasesSeen,
                                 DrainRequested,
                                 Tick>;

}  // namespace godwit::router

#endif  // ROUTER_ROUTER_EVENT_H_
