#include "metered_budget.h"

#include <algorithm>
#include <cmath>

namespace godwit::ledger {
namespace {

// What an average that began `age` ago has missed of a steady rate, at most
// this much.
constexpr double kMostCorrection = 4;

base::Tokens Corrected(base::Tokens tokens,
                       base::Millis age,
                       base::Millis half_life) {
  const double seen = 1 - std::exp2(-static_cast<double>(age.count()) /
                                    static_cast<double>(half_life.count()));
  const double factor = seen > 0 ? 1 / seen : kMostCorrection;
  return static_cast<base::Tokens>(static_cast<double>(tokens) *
                                   std::min(factor, kMostCorrection));
}

}  // namespace

void MeteredBudget::Spend(base::Millis now, Usage usage) {
  spent += usage.tokens;
  unproven += usage.unproven;
  first_use = first_use.value_or(now);
  burn.Add(now, usage.tokens);
  usual_burn.Add(now, usage.tokens);
}

base::Tokens MeteredBudget::Need() const {
  return std::max(need, asked);
}

base::Tokens MeteredBudget::ReservedOfGrant() const {
  return std::max<base::Tokens>(0, reserved - borrowed.free());
}

base::Tokens MeteredBudget::UseOver(base::Millis now,
                                    base::Millis span,
                                    const MeteredPolicy& policy) const {
  return first_use ? Corrected(use.Over(now, span), now - *first_use,
                               policy.burn_half_life)
                   : 0;
}

base::Tokens MeteredBudget::BurnOver(base::Millis now,
                                     base::Millis span,
                                     const MeteredPolicy& policy) const {
  if (!first_use) {
    return 0;
  }
  const base::Millis age = now - *first_use;
  return (Corrected(burn.Over(now, span), age, policy.burn_half_life) +
          Corrected(usual_burn.Over(now, span), age, policy.usual_half_life)) /
         2;
}

}  // namespace godwit::ledger
