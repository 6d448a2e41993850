#ifndef REVIEW_STANDINS_PREPAID_LOAD_H_
#define REVIEW_STANDINS_PREPAID_LOAD_H_

#include <cstdint>
#include <nlohmann/json.hpp>
#include <string>

namespace godwit::review {

// Prompts of one tenant with a prepaid budget, answered by streams of one
// service of model engines.
class PrepaidLoad {
 public:
  static constexpr int64_t kSlots = 64;
  static constexpr int64_t kObjectiveMs = 400;
  static constexpr int64_t kTimeLimitMs = 15'000;
  // Tokens of a request, of an event, and the events of an answer.
  static constexpr int64_t kInputTokens = 2000;
  static constexpr int64_t kTokensPerEvent = 5;
  static constexpr int64_t kEvents = 12;
  static constexpr int64_t kMaxOutputTokens = kEvents * kTokensPerEvent;

  static nlohmann::json Configuration(int64_t prepaid);
  // Id of the request with this number.
  static std::string IdOf(int number);
  // Sends the request to a router and reads the answer; leaves after
  // `leaves_after_ms`, unless that is 0. Returns the status, or 0 if there was
  // no answer by then, and counts the events that were received.
  static int Call(uint16_t port,
                  int number,
                  int64_t leaves_after_ms,
                  int64_t& events);
};

}  // namespace godwit::review

#endif  // REVIEW_STANDINS_PREPAID_LOAD_H_
