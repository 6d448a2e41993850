#ifndef REVIEW_STANDINS_3_TENANT_LOAD_H_
#define REVIEW_STANDINS_3_TENANT_LOAD_H_

#include <atomic>
#include <cstdint>
#include <string>
#include <utility>

#include "fleet.h"

namespace review {

// Callers of one tenant. Half of their requests use all of the output that they
// ask for, the others an eighth of it.
class TenantLoad {
 public:
  // Tokens of an event.
  static constexpr int64_t kStride = 50;

  explicit TenantLoad(std::string key) : key_(std::move(key)) {}

  // Sends requests one after the other until `stops` is set.
  void Call(const Router& router, int seed, const std::atomic<bool>& stops);
  // Longest pause after a request that was served.
  void SetPause(int64_t pause_ms) { pause_ms_ = pause_ms; }

  // Input of the requests that were answered 200, and of the events that the
  // callers received.
  int64_t tokens() const { return tokens_; }
  int64_t served() const { return served_; }
  std::string Describe(int64_t prepaid) const;

 private:
  const std::string key_;
  std::atomic<int64_t> pause_ms_{0};
  std::atomic<int64_t> tokens_{0};
  std::atomic<int64_t> served_{0};
  std::atomic<int64_t> refused_{0};
  std::atomic<int64_t> unknown_key_{0};
  std::atomic<int64_t> exhausted_{0};
};

}  // namespace review

#endif  // REVIEW_STANDINS_3_TENANT_LOAD_H_
