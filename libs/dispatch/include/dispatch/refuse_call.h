#ifndef DISPATCH_REFUSE_CALL_H_
#define DISPATCH_REFUSE_CALL_H_

#include <string>

#include "base/error_kind.h"
#include "base/millis.h"
#include "dispatch/call_id.h"

namespace godwit::dispatch {

// Command: end a call with an answer of the router's own.
struct RefuseCall {
  CallId call = 0;
  base::ErrorKind kind = base::ErrorKind::kUnavailable;
  std::string reason;
  // When the caller may try again; zero for no advice.
  base::Millis retry_after;
};

}  // namespace godwit::dispatch

#endif  // DISPATCH_REFUSE_CALL_H_
