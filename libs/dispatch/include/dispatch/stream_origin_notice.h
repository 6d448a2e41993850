#ifndef DISPATCH_STREAM_ORIGIN_NOTICE_H_
#define DISPATCH_STREAM_ORIGIN_NOTICE_H_

#include <string>
#include <tuple>

namespace godwit::dispatch {

// Notifies another router of the software version that began a stream.
struct StreamOriginNotice {
  // Id of the caller's request that brought the first event.
  std::string request_id;
  std::string software_version;

  friend bool operator==(const StreamOriginNotice& a,
                         const StreamOriginNotice& b) {
    return std::tie(a.request_id, a.software_version) ==
           std::tie(b.request_id, b.software_version);
  }
  friend bool operator!=(const StreamOriginNotice& a,
                         const StreamOriginNotice& b) {
    return !(a == b);
  }
};

}  // namespace godwit::dispatch

#endif  // DISPATCH_STREAM_ORIGIN_NOTICE_H_
