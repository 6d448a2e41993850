#include "metered_budget.h"

#include <algorithm>
#include <cmath>

namespace godwit::ledger {
namespace {

// Upper bound of the correction of an average that started recently and so has
// covered only a part of a steady rate.
constexpr double kMaxCorrection = 4;
// A reservation changes the mean size by 1/kMeanDivisor of the difference.
constexpr base::Tokens kMeanDivisor = 16;

base::Tokens Corrected(base::Tokens tokens,
                       base::Millis age,
                       base::Millis half_life) {
  const double coverage = 1 - std::exp2(-static_cast<double>(age.count()) /
                                        static_cast<double>(half_life.count()));
  const double factor = coverage > 0 ? 1 / coverage : kMaxCorrection;
  return static_cast<base::Tokens>(static_cast<double>(tokens) *
                                   std::min(factor, kMaxCorrection));
}

}  // namespace

void MeteredBudget::Spend(base::Millis now, Usage usage) {
  spent += usage.tokens;
  unproven += usage.unproven;
  first_used_at = first_used_at.value_or(now);
  burn.Add(now, usage.tokens);
  long_burn.Add(now, usage.tokens);
}

base::Tokens MeteredBudget::Need() const {
  return std::max(need, borrower_need);
}

base::Tokens MeteredBudget::ReservedOfGrant() const {
  return std::max<base::Tokens>(0, reserved - borrowed.free());
}

void MeteredBudget::RecordReservation(base::Millis now, base::Tokens amount) {
  first_reserved_at = first_reserved_at.value_or(now);
  reservations.Add(now, amount);
  mean_reservation =
      mean_reservation == 0
          ? amount
          : mean_reservation + (amount - mean_reservation) / kMeanDivisor;
}

base::Tokens MeteredBudget::ReservedOver(base::Millis now,
                                         base::Millis span,
                                         const MeteredPolicy& policy) const {
  return first_reserved_at
             ? Corrected(reservations.Over(now, span), now - *first_reserved_at,
                         policy.burn_half_life)
             : 0;
}

base::Tokens MeteredBudget::BurnOver(base::Millis now,
                                     base::Millis span,
                                     const MeteredPolicy& policy) const {
  if (!first_used_at) {
    return 0;
  }
  const base::Millis age = now - *first_used_at;
  return (Corrected(burn.Over(now, span), age, policy.burn_half_life) +
          Corrected(long_burn.Over(now, span), age, policy.long_half_life)) /
         2;
}

}  // namespace godwit::ledger
