#include "routing/retry_budget.h"

#include <algorithm>

namespace godwit::routing {

RetryBudget::RetryBudget(double ratio, double burst)
    : ratio_(ratio), burst_(burst), tokens_(burst) {}

void RetryBudget::OnRequest() {
  tokens_ = std::min(burst_, tokens_ + ratio_);
}

bool RetryBudget::TryRetry() {
  if (tokens_ < 1) {
    return false;
  }
  tokens_ -= 1;
  return true;
}

}  // namespace godwit::routing
