#ifndef GODWIT_ROUTER_ERROR_PAGE_H_
#define GODWIT_ROUTER_ERROR_PAGE_H_

#include "http/response.h"
#include "router/caller_error.h"

namespace godwit::router_daemon {

// The JSON error that a caller sees, with its HTTP status and, where there is
// a use in coming back, Retry-After.
http::Response ErrorPage(const router::CallerError& error);

}  // namespace godwit::router_daemon

#endif  // GODWIT_ROUTER_ERROR_PAGE_H_
