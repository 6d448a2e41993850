#ifndef ROUTER_CALLER_ERROR_H_
#define ROUTER_CALLER_ERROR_H_

#include <string>

#include "base/error_kind.h"
#include "base/millis.h"

namespace godwit::router {

// A final refusal or failure of a request.
struct CallerError {
  // What went wrong.
  base::ErrorKind kind = base::ErrorKind::kNone;
  // What happened.
  std::string message;
  // What the caller can do.
  std::string remedy;
  // True only when the request did not run and will not.
  bool not_run = false;
  // When to come back; zero when there is no use.
  base::Millis retry_after;
};

}  // namespace godwit::router

#endif  // ROUTER_CALLER_ERROR_H_
