#ifndef DISPATCH_STREAM_ORIGIN_QUERY_H_
#define DISPATCH_STREAM_ORIGIN_QUERY_H_

#include <string>
#include <tuple>

#include "base/ids.h"

namespace godwit::dispatch {

// Asks another router which software version began a stream.
struct StreamOriginQuery {
  // Id of the caller's request that brought the first event.
  std::string request_id;
  base::ServiceId service;

  friend bool operator==(const StreamOriginQuery& a,
                         const StreamOriginQuery& b) {
    return std::tie(a.request_id, a.service) ==
           std::tie(b.request_id, b.service);
  }
  friend bool operator!=(const StreamOriginQuery& a,
                         const StreamOriginQuery& b) {
    return !(a == b);
  }
};

}  // namespace godwit::dispatch

#endif  // DISPATCH_STREAM_ORIGIN_QUERY_H_
