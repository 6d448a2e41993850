#include "platform/kv_liveness.h"

#include <algorithm>
#include <cstdint>

namespace godwit::platform {
namespace {

constexpr base::Millis kMinProbeInterval(500);
// Bound on the probes of all processes together.
constexpr int64_t kMaxProbesPerSecond = 200;
constexpr int64_t kMillisPerSecond = 1000;

}  // namespace

void KvLiveness::SetProcesses(size_t count) {
  processes_ = std::max<size_t>(1, count);
}

void KvLiveness::OnAnswered(base::Millis started_at) {
  answered_at_ = std::max(answered_at_, started_at);
}

void KvLiveness::OnUnanswered(base::Millis now) {
  unanswered_at_ = now;
}

bool KvLiveness::IsProbeDue(base::Millis now) const {
  const base::Millis interval(static_cast<int64_t>(processes_) *
                              kMillisPerSecond / kMaxProbesPerSecond);
  return now - answered_at_ >= std::max(kMinProbeInterval, interval);
}

bool KvLiveness::IsWatchReliable(base::Millis sent_at) const {
  return !unanswered_at_ || *unanswered_at_ < sent_at;
}

}  // namespace godwit::platform
