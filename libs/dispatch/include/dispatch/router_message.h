#ifndef DISPATCH_ROUTER_MESSAGE_H_
#define DISPATCH_ROUTER_MESSAGE_H_

#include <variant>

#include "dispatch/limit_notice.h"
#include "dispatch/stream_origin_notice.h"
#include "dispatch/stream_origin_query.h"
#include "dispatch/stream_origin_reply.h"

namespace godwit::dispatch {

// What routers tell each other of backend servers, one message per datagram.
using RouterMessage = std::variant<LimitNotice,
                                   StreamOriginNotice,
                                   StreamOriginQuery,
                                   StreamOriginReply>;

}  // namespace godwit::dispatch

#endif  // DISPATCH_ROUTER_MESSAGE_H_
