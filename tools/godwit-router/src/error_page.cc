#include "error_page.h"

#include <nlohmann/json.hpp>
#include <string>

#include "http/status_of.h"

namespace godwit::router_daemon {
namespace {

constexpr int64_t kMillisInSecond = 1000;

std::string RetryAfterSeconds(base::Millis wait) {
  return std::to_string((wait.count() + kMillisInSecond - 1) / kMillisInSecond);
}

}  // namespace

http::Response ErrorPage(const router::CallerError& error) {
  const nlohmann::json body = {
      {"error",
       {{"kind", std::string(base::ErrorKindName(error.kind))},
        {"message", error.message},
        {"remedy", error.remedy},
        {"not_run", error.not_run}}}};
  http::Response response;
  response.status = http::StatusOf(error.kind);
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
