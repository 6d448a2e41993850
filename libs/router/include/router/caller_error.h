#ifndef ROUTER_CALLER_ERROR_H_
#define ROUTER_CALLER_ERROR_H_

#include <string>

#include "base/error_kind.h"
#include "base/millis.h"

namespace godwit::router {

// The final refusal or failure of a request.
struct CallerError {
  // Category of the error.
  base::ErrorKind kind = base::ErrorKind::kNone;
  // What happened.
  std::string message;
  // Suggested action for the caller.
  std::string remedy;
  // True only when the request has not run and will not run.
  bool not_run = false;
  // Delay after which the caller may retry; zero when retrying is of no use.
  base::Millis retry_after;
};

}  // namespace godwit::router

#endif  // ROUTER_CALLER_ERROR_H_
