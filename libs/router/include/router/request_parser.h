#ifndef ROUTER_REQUEST_PARSER_H_
#define ROUTER_REQUEST_PARSER_H_

#include <optional>

#include "base/error.h"
#include "router/caller_request.h"

namespace godwit::config {
struct Config;
struct Organisation;
}  // namespace godwit::config

namespace godwit::http {
struct Request;
}

namespace godwit::router {

// Converts an HTTP request of a caller into a CallerRequest:
//   POST /v1/chat/completions   a model pool, selected by "model" in the body
//   any /services/NAME/PATH     a plain service
// Requires Authorization: Bearer KEY and accepts Idempotency-Key,
// Godwit-Repeatable: false and Godwit-Class. Not thread-safe.
class RequestParser {
 public:
  // Returns nullopt when the request is refused before it could run; see
  // last_error(). The exchange of the result is 0.
  std::optional<CallerRequest> Parse(const config::Config& config,
                                     const http::Request& request);

  const base::Error& last_error() const noexcept { return error_; }

 private:
  std::optional<CallerRequest> ParseChat(const config::Config& config,
                                         const config::Organisation& caller,
                                         const http::Request& request);
  std::optional<CallerRequest> ParsePlain(const config::Config& config,
                                          const config::Organisation& caller,
                                          const http::Request& request);
  const config::Organisation* Authenticate(const config::Config& config,
                                           const http::Request& request);
  bool ReadCommonHeaders(const config::Config& config,
                         const http::Request& request,
                         CallerRequest* result);
  bool CheckServiceAllowed(const config::Organisation& caller,
                           const base::ServiceId& service);
  std::nullopt_t Refuse(base::ErrorKind kind,
                        std::string message,
                        std::string remedy);

  base::Error error_;
};

}  // namespace godwit::router

#endif  // ROUTER_REQUEST_PARSER_H_
