#include "error_page.h"

#include <nlohmann/json.hpp>
#include <string>

namespace godwit::router_daemon {
namespace {

using base::ErrorKind;

constexpr int64_t kMillisInSecond = 1000;

std::string RetryAfterSeconds(base::Millis wait) {
  return std::to_string((wait.count() + kMillisInSecond - 1) / kMillisInSecond);
}

}  // namespace

int StatusOf(ErrorKind kind) {
  switch (kind) {
    case ErrorKind::kInvalidArgument:
    case ErrorKind::kMalformed:
      return 400;
    case ErrorKind::kUnauthenticated:
      return 401;
    case ErrorKind::kBudgetExhausted:
      return 402;
    case ErrorKind::kForbidden:
      return 403;
    case ErrorKind::kNotFound:
      return 404;
    case ErrorKind::kConflict:
      return 409;
    case ErrorKind::kTooLarge:
      return 413;
    case ErrorKind::kKeyReused:
      return 422;
    case ErrorKind::kRateLimited:
      return 429;
    case ErrorKind::kOutcomeUnknown:
    case ErrorKind::kBackendFailed:
      return 502;
    case ErrorKind::kDeadlineExceeded:
      return 504;
    case ErrorKind::kInternal:
      return 500;
    default:
      return 503;
  }
}

http::Response ErrorPage(const router::CallerError& error) {
  const nlohmann::json body = {
      {"error",
       {{"kind", std::string(base::ErrorKindName(error.kind))},
        {"message", error.message},
        {"remedy", error.remedy},
        {"not_run", error.not_run}}}};
  http::Response response;
  response.status = StatusOf(error.kind);
  response.headers["content-type"] = "application/json";
  if (error.retry_after > base::Millis()) {
    response.headers["retry-after"] = RetryAfterSeconds(error.retry_after);
  }
  response.body =
      body.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace) +
      "\n";
  return response;
}

}  // namespace godwit::router_daemon
