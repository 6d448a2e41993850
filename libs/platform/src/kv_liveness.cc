#include "platform/kv_liveness.h"

#include <algorithm>
#include <cstdint>

#include "platform/call_deadline.h"

namespace godwit::platform {
namespace {

constexpr base::Millis kMinProbeInterval(500);
// Bound on the probes of all processes together.
constexpr int64_t kMaxProbesPerSecond = 200;
constexpr int64_t kMillisPerSecond = 1000;
// Time to list the keys once a watch was given up.
constexpr base::Millis kListTime(500);
constexpr base::Millis kMinWatchWait(250);

}  // namespace

KvLiveness::KvLiveness(base::Millis change_detection)
    : watch_wait_(std::max(
          kMinWatchWait,
          change_detection - CallDeadline::kSilenceTimeout - kListTime)) {}

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
