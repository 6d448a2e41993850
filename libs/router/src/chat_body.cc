#include "chat_body.h"

#include <nlohmann/json.hpp>

namespace godwit::router {
namespace {

using nlohmann::json;

constexpr int64_t kMaxOutputTokens = 1'000'000;
// Copies and texts of a document are made recursively.
constexpr int kMaxDepth = 64;

base::Error Malformed(std::string message, std::string remedy) {
  return base::Error(base::ErrorKind::kMalformed, std::move(message),
                     std::move(remedy));
}

bool IsMessage(const json& message) {
  return message.is_object() && message.contains("role") &&
         message["role"].is_string() && message.contains("content") &&
         message["content"].is_string();
}

std::string PromptOf(const json& messages) {
  std::string prompt;
  for (const json& message : messages) {
    prompt += message["role"].get_ref<const std::string&>();
    prompt += '\n';
    prompt += message["content"].get_ref<const std::string&>();
    prompt += '\n';
  }
  return prompt;
}

// Returns the first error in a body, or an error of kind kNone.
base::Error FindError(const json& body) {
  if (!body.is_object()) {
    return Malformed("the body is not a JSON object",
                     "send a chat completion object");
  }
  if (!body.contains("model") || !body["model"].is_string()) {
    return Malformed("\"model\" is missing or not a string",
                     "name a model of the configuration");
  }
  if (!body.contains("messages") || !body["messages"].is_array() ||
      body["messages"].empty()) {
    return Malformed("\"messages\" is missing or empty",
                     "send at least one message");
  }
  for (const json& message : body["messages"]) {
    if (!IsMessage(message)) {
      return Malformed("a message lacks a string \"role\" or \"content\"",
                       "give each message both as strings");
    }
  }
  if (body.contains("stream") && !body["stream"].is_boolean()) {
    return Malformed("\"stream\" is not a boolean", "send true or false");
  }
  if (body.contains("max_tokens")) {
    const json& cap = body["max_tokens"];
    if (!cap.is_number_integer() || cap < 1 || cap > kMaxOutputTokens) {
      return Malformed("\"max_tokens\" is not an integer from 1 to 1000000",
                       "send such an integer or leave it out");
    }
  }
  return base::Error();
}

}  // namespace

std::optional<ChatBody> ChatBodyReader::Read(const std::string& body) {
  bool is_too_deep = false;
  const json parsed = json::parse(
      body,
      [&is_too_deep](int depth, json::parse_event_t /*event*/, json& /*part*/) {
        is_too_deep = is_too_deep || depth > kMaxDepth;
        return !is_too_deep;
      },
      false);
  if (is_too_deep) {
    error_ =
        Malformed("the body is nested more than 64 deep", "send fewer levels");
    return std::nullopt;
  }
  if (parsed.is_discarded()) {
    error_ = Malformed("the body is not JSON", "send valid JSON");
    return std::nullopt;
  }
  error_ = FindError(parsed);
  if (error_.kind() != base::ErrorKind::kNone) {
    return std::nullopt;
  }
  ChatBody result;
  result.model = parsed["model"].get<std::string>();
  result.stream = parsed.value("stream", false);
  result.max_tokens = parsed.value("max_tokens", int64_t{0});
  result.prompt = PromptOf(parsed["messages"]);
  return result;
}

}  // namespace godwit::router
