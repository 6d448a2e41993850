#include "agent/engine_request.h"

#include <utility>

#include <nlohmann/json.hpp>

namespace godwit::agent {
namespace {

using Json = nlohmann::json;

// Copies and texts of a document are made recursively. Routers refuse bodies
// that are nested this deep.
constexpr int kMaxDepth = 128;

// Returns null if the body is no object, or nested too deep.
Json ParseObject(const std::string& body) {
  bool is_too_deep = false;
  Json parsed = Json::parse(
      body,
      [&is_too_deep](int depth, Json::parse_event_t /*event*/, Json& /*part*/) {
        is_too_deep = is_too_deep || depth > kMaxDepth;
        return !is_too_deep;
      },
      false);
  return parsed.is_object() && !is_too_deep ? std::move(parsed) : Json();
}

bool IsTrue(const Json& object, const char* name) {
  const auto found = object.find(name);
  return found != object.end() && found->is_boolean() && found->get<bool>();
}

}  // namespace

std::string EngineRequestBody(const link::StartRun& start) {
  Json body = ParseObject(start.body);
  if (body.is_null()) {
    return start.body;
  }
  body["max_tokens"] = start.output_cap;
  if (IsTrue(body, "stream")) {
    body["stream_options"] = {{"include_usage", true}};
  }
  if (start.resume_tokens > 0) {
    body["resume_tokens"] = start.resume_tokens;
  }
  return body.dump(-1, ' ', false, Json::error_handler_t::replace);
}

bool RequestsStream(const std::string& body) {
  const Json parsed = ParseObject(body);
  return parsed.is_object() && IsTrue(parsed, "stream");
}

}  // namespace godwit::agent
