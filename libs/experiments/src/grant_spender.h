#ifndef EXPERIMENTS_GRANT_SPENDER_H_
#define EXPERIMENTS_GRANT_SPENDER_H_

#include <deque>
#include <map>

#include "base/ids.h"
#include "base/millis.h"
#include "cas_queue.h"
#include "naive_spender.h"
#include "spender_output.h"
#include "spender_setup.h"

namespace godwit::experiments {

// Naive strategy: one grant for each budget, of a size that does not depend on
// demand. It is never returned, and the grant of a lost router stays reserved.
class GrantSpender : public NaiveSpender {
 public:
  enum class Sizing {
    // The limit divided by the number of routers.
    kEvenSplit,
    // A fixed part of the limit at a time, when the previous part runs low.
    kFixed,
  };

  GrantSpender(const SpenderSetup& setup, Sizing sizing);

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
    ServeAll(now, out);
  }

 private:
  struct Waiting {
    base::AttemptId attempt;
    base::Tokens amount = 0;
    base::Millis deadline;
  };
  struct Account {
    base::GrantId grant;
    base::Tokens amount = 0;
    base::Tokens reserved = 0;
    base::Tokens billed = 0;
    std::map<base::Incarnation, base::Tokens> billed_at;
    std::deque<Waiting> waiting;
    bool drawing = false;
    bool refused_draw = false;
    bool dirty = false;
  };
  struct Reservation {
    base::BudgetId budget;
    base::Tokens amount = 0;
  };

  void Draw(base::Millis now, const base::BudgetId& budget);
  base::Tokens RequestedAmount(const ledger::Budget& budget,
                               base::Tokens drawn,
                               base::Tokens shortfall) const;
  void WriteUsage(base::Millis now, const base::BudgetId& budget);
  void ServeAll(base::Millis now, SpenderOutput& out);
  void Serve(base::Millis now,
             const base::BudgetId& budget,
             Account& account,
             SpenderOutput& out);

  SpenderSetup setup_;
  Sizing sizing_;
  CasQueue queue_;
  base::Millis next_write_;
  std::map<base::BudgetId, Account> accounts_;
  std::map<base::AttemptId, Reservation> reservations_;
};

}  // namespace godwit::experiments

#endif  // EXPERIMENTS_GRANT_SPENDER_H_
