#include "idle_reuse_limit.h"

#include <algorithm>

namespace godwit::relay {
namespace {

// A connection whose state the server has dropped is reset by the first bytes
// sent, within a few round trips. A loss after a longer time has another cause:
// a server may crash at any time.
constexpr base::Millis kResetWindow(50);
// A loss shows that the limit is below the idle time; the next limit tried is
// that time divided by this.
constexpr int64_t kLimitDivisor = 2;
constexpr base::Millis kMinLimit(50);
// Time after which the limit expires and longer idle times are tried again. The
// cost of retrying is low, since new connections are cheap.
constexpr base::Millis kLimitLifetime(60'000);

}  // namespace

void IdleReuseLimit::OnLost(base::Millis now,
                            base::Millis idle_time,
                            base::Millis time_to_loss) {
  if (time_to_loss > kResetWindow) {
    return;
  }
  const base::Millis half_idle_time =
      base::Millis(idle_time.count() / kLimitDivisor);
  const base::Millis current_limit =
      limit_ && now < expires_at_ ? *limit_ : half_idle_time;
  limit_ = std::max(kMinLimit, std::min(current_limit, half_idle_time));
  expires_at_ = now + kLimitLifetime;
}

bool IdleReuseLimit::Allows(base::Millis now, base::Millis idle_time) const {
  return !limit_ || now >= expires_at_ || idle_time <= *limit_;
}

}  // namespace godwit::relay
