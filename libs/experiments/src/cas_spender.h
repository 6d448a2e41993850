#ifndef EXPERIMENTS_CAS_SPENDER_H_
#define EXPERIMENTS_CAS_SPENDER_H_

#include <map>

#include "base/ids.h"
#include "base/millis.h"
#include "cas_queue.h"
#include "naive_spender.h"
#include "spender_output.h"
#include "spender_setup.h"

namespace godwit::experiments {

// Naive strategy: each request reserves its worst case with a compare-and-swap
// of its own and settles with another one.
class CasSpender : public NaiveSpender {
 public:
  explicit CasSpender(const SpenderSetup& setup);

  void Reserve(base::Millis now,
               const base::AttemptId& attempt,
               const base::BudgetId& budget,
               base::Tokens amount,
               SpenderOutput& out);
  void Settle(base::Millis now,
              const base::AttemptId& attempt,
              const base::Incarnation& agent,
              base::Tokens billed,
              SpenderOutput& out);
  void Tick(base::Millis now, SpenderOutput& out);
  template <typename Done>
  void Finish(base::Millis now, const Done& done, SpenderOutput& out) {
    queue_.Finish(now, done, out);
    Drain(out);
  }

 private:
  // Moves the results of finished jobs to the output.
  void Drain(SpenderOutput& out);

  base::Incarnation self_;
  CasQueue queue_;
  SpenderOutput ready_;
  std::map<base::AttemptId, base::BudgetId> budgets_;
};

}  // namespace godwit::experiments

#endif  // EXPERIMENTS_CAS_SPENDER_H_
