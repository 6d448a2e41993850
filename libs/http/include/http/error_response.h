#ifndef HTTP_ERROR_RESPONSE_H_
#define HTTP_ERROR_RESPONSE_H_

#include <optional>

#include "base/error.h"
#include "base/millis.h"
#include "http/response.h"

namespace godwit::http {

// Makes a JSON response {"error":{kind,message,remedy,not_run}}. `retry_after`
// becomes a Retry-After header in seconds, rounded up.
Response ErrorResponse(int status,
                       const base::Error& error,
                       bool not_run,
                       std::optional<base::Millis> retry_after = std::nullopt);

}  // namespace godwit::http

#endif  // HTTP_ERROR_RESPONSE_H_
