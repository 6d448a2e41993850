#include "idle_reuse_limit.h"

#include <algorithm>

namespace godwit::relay {
namespace {

// A forgotten connection is reset by the first bytes that arrive: within a few
// round trips. A server that crashes does so at any time.
constexpr base::Millis kQuickLoss(50);
// The loss shows that the limit is below the rest; the next try is at half.
constexpr int64_t kPart = 2;
constexpr base::Millis kLeastLimit(50);
// What was learnt is tried again after this: new connections cost little.
constexpr base::Millis kMemory(60'000);

}  // namespace

void IdleReuseLimit::OnLost(base::Millis now,
                            base::Millis idle_time,
                            base::Millis after) {
  if (after > kQuickLoss) {
    return;
  }
  const base::Millis half = base::Millis(idle_time.count() / kPart);
  const base::Millis present = limit_ && now < forget_at_ ? *limit_ : half;
  limit_ = std::max(kLeastLimit, std::min(present, half));
  forget_at_ = now + kMemory;
}

bool IdleReuseLimit::Allows(base::Millis now, base::Millis idle_time) const {
  return !limit_ || now >= forget_at_ || idle_time <= *limit_;
}

}  // namespace godwit::relay
