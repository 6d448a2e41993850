#include "prepaid_load.h"

#include <cstdio>

#include "connection.h"
#include "deployment.h"

namespace godwit::review {
namespace {

using nlohmann::json;

// A part that many requests share, and one of the request's own.
std::string PromptPrefix(int number) {
  constexpr int shared_parts = 40;
  constexpr int64_t shared_tokens = 600;
  char text[64];
  std::snprintf(text, sizeof(text), "%x:%d,%x:%d",
                0x100 + number % shared_parts, static_cast<int>(shared_tokens),
                0x10000 + number,
                static_cast<int>(PrepaidLoad::kInputTokens - shared_tokens));
  return text;
}

}  // namespace

json PrepaidLoad::Configuration(int64_t prepaid) {
  return {{"version", 7},
          {"routes", json::array({{{"name", "r-1"},
                                   {"host", "chat.example"},
                                   {"prefix", "/help/"},
                                   {"kind", "streaming"},
                                   {"timeoutMs", kTimeLimitMs},
                                   {"targetLatencyMs", kObjectiveMs},
                                   {"priority", 0},
                                   {"service", "llm"},
                                   {"maxAttempts", 1},
                                   {"public", false},
                                   {"sticky", true},
                                   {"resumable", false},
                                   {"gapAimMs", 400}}})},
          {"services",
           json::array({{{"name", "llm"},
                         {"healthPath", "/health"},
                         {"maxConns", 370},
                         {"protocol", "h1"},
                         {"tls", false},
                         {"engine",
                          {{"slots", kSlots},
                           {"kvCapacity", 308512},
                           {"kvBytes", 163840},
                           {"linkMbps", 740000.0},
                           {"moves", false},
                           {"backups", false},
                           {"stride", kTokensPerEvent},
                           {"models", json::array({{{"name", "m"}}})}}}}})},
          {"limits", Deployment::Limits()},
          {"tenants", json::array({{{"name", "tenant-1"},
                                    {"apiKeys", json::array({"key-1"})},
                                    {"priority", 1},
                                    {"prepaid", prepaid}}})}};
}

std::string PrepaidLoad::IdOf(int number) {
  return "a-" + std::to_string(number);
}

int PrepaidLoad::Call(uint16_t port,
                      int number,
                      int64_t leaves_after_ms,
                      int64_t& events) {
  const std::string id = IdOf(number);
  const auto connection = Connection::Open(port);
  if (connection == nullptr ||
      !connection->Send(
          "POST /help/1 HTTP/1.1\r\nHost: chat.example\r\n"
          "Godwitlatch-Attempt-Id: " +
          id + "\r\nGodwitlatch-Model: m\r\nGodwitlatch-Token-Counts: " +
          std::to_string(kInputTokens) + "," +
          std::to_string(kMaxOutputTokens) +
          "\r\nGodwitlatch-Prompt-Prefix: " + PromptPrefix(number) +
          "\r\nGodwitlatch-Deadline-Ms: " + std::to_string(kTimeLimitMs) +
          "\r\nAuthorization: Bearer key-1\r\nContent-Length: 0\r\n\r\n")) {
    return 0;
  }
  const auto answer =
      connection->Read(leaves_after_ms > 0 ? leaves_after_ms : kTimeLimitMs);
  if (!answer) {
    return 0;
  }
  for (size_t at = answer->body.find("id: "); at != std::string::npos;
       at = answer->body.find("id: ", at + 1)) {
    ++events;
  }
  return answer->Status();
}

}  // namespace godwit::review
