#ifndef DISPATCH_ROUTER_MESSAGE_H_
#define DISPATCH_ROUTER_MESSAGE_H_

#include <variant>

#include "dispatch/clearance_notice.h"
#include "dispatch/containment_notice.h"
#include "dispatch/limit_notice.h"
#include "dispatch/loss_notice.h"
#include "dispatch/loss_retraction.h"
#include "dispatch/stream_origin_notice.h"
#include "dispatch/stream_origin_query.h"
#include "dispatch/stream_origin_reply.h"
#include "dispatch/suspect_run_notice.h"
#include "dispatch/versions_notice.h"

namespace godwit::dispatch {

// What routers tell each other of backend servers and of the requests to them,
// one message per datagram.
using RouterMessage = std::variant<LimitNotice,
                                   StreamOriginNotice,
                                   StreamOriginQuery,
                                   StreamOriginReply,
                                   VersionsNotice,
                                   LossNotice,
                                   LossRetraction,
                                   ContainmentNotice,
                                   ClearanceNotice,
                                   SuspectRunNotice>;

}  // namespace godwit::dispatch

#endif  // DISPATCH_ROUTER_MESSAGE_H_
