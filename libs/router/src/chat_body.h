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
  // 0 when the caller set no limit.
  int64_t max_tokens = 0;
  // Roles and texts of all messages, in their order.
  std::string prompt;
};

// Reads a chat completion body. One thread at a time.
class ChatBodyReader {
 public:
  // Empty when the body is not a chat completion; see last_error().
  std::optional<ChatBody> Read(const std::string& body);
  const base::Error& last_error() const noexcept { return error_; }

 private:
  base::Error error_;
};

}  // namespace godwit::router

#endif  // ROUTER_CHAT_BODY_H_
