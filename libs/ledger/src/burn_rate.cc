#include "burn_rate.h"

#include <cmath>

namespace godwit::ledger {
namespace {

constexpr double kLn2 = 0.6931471805599453;
// Far below the range of Tokens, so that sums of targets can't overflow.
constexpr double kMaxTokens = 1e15;

}  // namespace

double BurnRate::Decayed(base::Millis now) const {
  const auto age = static_cast<double>((now - updated_at_).count());
  return sum_ * std::exp2(-age / static_cast<double>(half_life_.count()));
}

void BurnRate::Add(base::Millis now, base::Tokens tokens) {
  sum_ = Decayed(now) + static_cast<double>(tokens);
  updated_at_ = now;
}

base::Tokens BurnRate::Over(base::Millis now, base::Millis span) const {
  const double per_milli =
      Decayed(now) * kLn2 / static_cast<double>(half_life_.count());
  const double tokens = per_milli * static_cast<double>(span.count());
  return static_cast<base::Tokens>(std::fmin(tokens, kMaxTokens));
}

}  // namespace godwit::ledger
