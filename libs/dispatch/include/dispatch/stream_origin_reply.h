#ifndef DISPATCH_STREAM_ORIGIN_REPLY_H_
#define DISPATCH_STREAM_ORIGIN_REPLY_H_

#include <string>
#include <tuple>

#include "dispatch/stream_origin.h"

namespace godwit::dispatch {

// Answers a StreamOriginQuery.
struct StreamOriginReply {
  std::string request_id;
  StreamOrigin origin;

  friend bool operator==(const StreamOriginReply& a,
                         const StreamOriginReply& b) {
    return std::tie(a.request_id, a.origin) == std::tie(b.request_id, b.origin);
  }
  friend bool operator!=(const StreamOriginReply& a,
                         const StreamOriginReply& b) {
    return !(a == b);
  }
};

}  // namespace godwit::dispatch

#endif  // DISPATCH_STREAM_ORIGIN_REPLY_H_
