#include "http/error_response.h"

#include <nlohmann/json.hpp>

namespace godwit::http {
namespace {

constexpr int64_t kMillisPerSecond = 1000;

}  // namespace

Response ErrorResponse(int status,
                       const base::Error& error,
                       bool not_run,
                       std::optional<base::Millis> retry_after) {
  const nlohmann::json body = {{"error",
                                {{"kind", base::ErrorKindName(error.kind())},
                                 {"message", error.message()},
                                 {"remedy", error.remedy()},
                                 {"not_run", not_run}}}};
  Response response;
  response.status = status;
  response.headers["content-type"] = "application/json";
  if (retry_after) {
    const int64_t seconds =
        (retry_after->count() + kMillisPerSecond - 1) / kMillisPerSecond;
    response.headers["retry-after"] = std::to_string(seconds);
  }
  response.body =
      body.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
  return response;
}

}  // namespace godwit::http
