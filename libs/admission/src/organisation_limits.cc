#include "admission/organisation_limits.h"

#include <algorithm>

namespace godwit::admission {

namespace {

constexpr int64_t kThousand = 1000;
constexpr base::Millis kConcurrencyRetryAfter{500};

}  // namespace

std::optional<LimitRefusal> OrganisationLimits::Admit(
    base::Millis now,
    const base::OrganisationId& organisation,
    int64_t max_requests_per_second,
    int64_t max_concurrent) {
  Account& account = accounts_[organisation];
  if (max_concurrent > 0 && account.in_progress >= max_concurrent) {
    return LimitRefusal{base::ErrorKind::kRateLimited, kConcurrencyRetryAfter};
  }
  if (max_requests_per_second > 0) {
    const int64_t rate = max_requests_per_second;
    const int64_t capacity = rate * kThousand;
    const int64_t elapsed = (now - account.refilled_at).count();
    const bool is_full = !account.initialized || elapsed >= kThousand;
    account.allowance =
        is_full ? capacity
                : std::min(capacity, account.allowance + elapsed * rate);
    account.initialized = true;
    account.refilled_at = now;
    if (account.allowance < kThousand) {
      const int64_t missing = kThousand - account.allowance;
      return LimitRefusal{base::ErrorKind::kRateLimited,
                          base::Millis((missing + rate - 1) / rate)};
    }
    account.allowance -= kThousand;
  }
  ++account.in_progress;
  return std::nullopt;
}

void OrganisationLimits::Release(const base::OrganisationId& organisation) {
  auto account = accounts_.find(organisation);
  if (account != accounts_.end() && account->second.in_progress > 0) {
    --account->second.in_progress;
  }
}

int64_t OrganisationLimits::in_progress(
    const base::OrganisationId& organisation) const {
  auto account = accounts_.find(organisation);
  return account == accounts_.end() ? 0 : account->second.in_progress;
}

}  // namespace godwit::admission
