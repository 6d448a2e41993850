#ifndef ROUTER_CHAT_BODY_H_
#define ROUTER_CHAT_BODY_H_

#include <cstdint>
#include <optional>
#include <string>

#include "base/error.h"

namespace godwit::router {

// The fields of a chat completion body that routing and budgets need.
struct ChatBody {
  std::string model;
  bool stream = false;
  // Requested maximum of output tokens; 0 when the caller set none.
  int64_t max_tokens = 0;
  // Roles and contents of all messages, in order.
  std::string prompt;
};

// Parses a chat completion body. Not thread-safe.
class ChatBodyReader {
 public:
  // Returns nullopt when the body is not a chat completion; see last_error().
  std::optional<ChatBody> Read(const std::string& body);
  const base::Error& last_error() const noexcept { return error_; }

 private:
  base::Error error_;
};

}  // namespace godwit::router

#endif  // ROUTER_CHAT_BODY_H_
