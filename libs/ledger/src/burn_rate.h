#ifndef LEDGER_BURN_RATE_H_
#define LEDGER_BURN_RATE_H_

#include "base/ids.h"
#include "base/millis.h"

namespace godwit::ledger {

// Estimates the tokens billed per millisecond by an exponentially decaying sum.
class BurnRate {
 public:
  explicit BurnRate(base::Millis half_life) : half_life_(half_life) {}

  // Adds tokens billed at `now`.
  void Add(base::Millis now, base::Tokens tokens);

  // Returns the tokens that `span` would take at the current rate.
  base::Tokens Over(base::Millis now, base::Millis span) const;

 private:
  double Decayed(base::Millis now) const;

  base::Millis half_life_;
  base::Millis updated_at_;
  double sum_ = 0;
};

}  // namespace godwit::ledger

#endif  // LEDGER_BURN_RATE_H_
