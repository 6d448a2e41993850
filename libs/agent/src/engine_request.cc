#include "agent/engine_request.h"

#include <nlohmann/json.hpp>

namespace godwit::agent {
namespace {

using Json = nlohmann::json;

Json ParseObject(const std::string& body) {
  Json parsed = Json::parse(body, nullptr, false);
  return parsed.is_object() ? parsed : Json();
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
