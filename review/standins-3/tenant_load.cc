#include "tenant_load.h"

#include <algorithm>
#include <memory>
#include <random>

namespace review {
namespace {

constexpr int64_t kInput = 100;
constexpr int64_t kEvents = 8;
constexpr int64_t kDeadlineMs = 6'000;
constexpr int64_t kPauseAfterRefusalMs = 50;

}  // namespace

void TenantLoad::Call(const Router& router,
                      int seed,
                      const std::atomic<bool>& stops) {
  std::minstd_rand random(static_cast<unsigned>(seed));
  std::unique_ptr<Connection> connection;
  while (!stops) {
    if (connection == nullptr) {
      const int fd = Connection::Dial(router.callers(), 1000);
      if (fd < 0) {
        SleepMs(kPauseAfterRefusalMs);
        continue;
      }
      connection = std::make_unique<Connection>(fd);
    }
    StreamRequest request;
    request.path = "/chat/";
    request.key = key_;
    request.input_tokens = kInput;
    request.max_output_tokens = kEvents * kStride;
    request.deadline_ms = kDeadlineMs;
    request.events = random() % 2 == 0 ? 1 : kEvents;
    request.gap_ms = 10;
    bool keeps = false;
    const Attempt attempt = SendStream(*connection, request, &keeps);
    if (attempt.status == 200) {
      ++served_;
      tokens_ += kInput + attempt.events * kStride;
    }
    refused_ += attempt.status == 503 ? 1 : 0;
    unknown_key_ += attempt.status == 401 ? 1 : 0;
    exhausted_ += attempt.status == 402 ? 1 : 0;
    if (!keeps) {
      connection.reset();
    }
    const int64_t pause =
        attempt.status == 200 ? pause_ms_.load() : kPauseAfterRefusalMs;
    if (pause > 0) {
      SleepMs(static_cast<int64_t>(random()) % pause);
    }
  }
}

std::string TenantLoad::Describe(int64_t prepaid) const {
  return "tokens " + std::to_string(tokens_) + " of " +
         std::to_string(prepaid) + ", served " + std::to_string(served_) +
         ", 503 " + std::to_string(refused_) + ", 402 " +
         std::to_string(exhausted_) + ", 401 " + std::to_string(unknown_key_);
}

}  // namespace review
