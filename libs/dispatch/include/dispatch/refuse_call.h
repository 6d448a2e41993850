#ifndef DISPATCH_REFUSE_CALL_H_
#define DISPATCH_REFUSE_CALL_H_

#include <string>

#include "base/error_kind.h"
#include "base/millis.h"
#include "dispatch/call_id.h"

namespace godwit::dispatch {

// Command: end a call with an error answer from the router.
struct RefuseCall {
  CallId call = 0;
  base::ErrorKind kind = base::ErrorKind::kUnavailable;
  std::string reason;
  // Delay after which the caller may try again; zero if not stated.
  base::Millis retry_after;
};

}  // namespace godwit::dispatch

#endif  // DISPATCH_REFUSE_CALL_H_
