#include "routing/retry_budget.h"

#include <algorithm>

namespace godwit::routing {

RetryBudget::RetryBudget(double ratio, double burst)
    : ratio_(ratio), burst_(burst), available_(burst) {}

void RetryBudget::SetBurst(double burst) {
  burst_ = burst;
  available_ = std::min(available_, burst_);
}

void RetryBudget::OnRequest() {
  available_ = std::min(burst_, available_ + ratio_);
}

bool RetryBudget::TryRetry() {
  if (available_ < 1) {
    return false;
  }
  available_ -= 1;
  return true;
}

}  // namespace godwit::routing
