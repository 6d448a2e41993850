#ifndef GODWIT_ROUTER_ERROR_PAGE_H_
#define GODWIT_ROUTER_ERROR_PAGE_H_

#include "http/response.h"
#include "router/caller_error.h"

namespace godwit::router_daemon {

// Builds the JSON error response for a caller, with its HTTP status and, if a
// retry can succeed, a Retry-After header.
http::Response ErrorPage(const router::CallerError& error);

}  // namespace godwit::router_daemon

#endif  // GODWIT_ROUTER_ERROR_PAGE_H_
