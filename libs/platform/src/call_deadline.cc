#include "platform/call_deadline.h"

#include <algorithm>

namespace godwit::platform {
namespace {

// Time for a whole answer. The largest page, 1.4 MB as base64, takes 11 s at
// 1 Mbit/s.
constexpr base::Millis kMaxTransferTime(12'000);

}  // namespace

CallDeadline::CallDeadline(base::Millis started_at, base::Millis wait)
    : latest_(started_at + wait + kMaxTransferTime),
      at_(started_at + wait + kSilenceTimeout) {}

void CallDeadline::OnProgress(base::Millis now) {
  at_ = std::min(latest_, now + kSilenceTimeout);
}

}  // namespace godwit::platform
