#ifndef DISPATCH_CLEARANCE_NOTICE_H_
#define DISPATCH_CLEARANCE_NOTICE_H_

#include <tuple>

#include "base/millis.h"
#include "dispatch/content_key.h"

namespace godwit::dispatch {

// Notifies another router that a request with a suspected or contained content
// was answered.
struct ClearanceNotice {
  ContentKey content;
  // Time since the answer.
  base::Millis age;
  // Sent to all routers; otherwise only to the one that contained the content.
  bool is_broadcast = false;

  friend bool operator==(const ClearanceNotice& a, const ClearanceNotice& b) {
    return std::tie(a.content, a.age, a.is_broadcast) ==
           std::tie(b.content, b.age, b.is_broadcast);
  }
  friend bool operator!=(const ClearanceNotice& a, const ClearanceNotice& b) {
    return !(a == b);
  }
};

}  // namespace godwit::dispatch

#endif  // DISPATCH_CLEARANCE_NOTICE_H_
