#ifndef LEDGER_BUDGET_REPORT_H_
#define LEDGER_BUDGET_REPORT_H_

#include <cstdint>
#include <tuple>

#include "base/ids.h"

namespace godwit::ledger {

// Where the tokens of a budget are, as one router knows it, and how many
// requests it refused for lack of them.
struct BudgetReport {
  // Numbers of refused requests, by cause.
  struct Refusals {
    // The proven use leaves less than the request needs.
    int64_t exhausted = 0;
    // The lender has nothing free, and nothing is expected in time.
    int64_t nothing_free = 0;
    // No tokens came within MeteredPolicy::max_wait.
    int64_t timed_out = 0;
    // The KV does not answer, or the ledger is not complete yet.
    int64_t kv_unavailable = 0;

    friend bool operator==(const Refusals& a, const Refusals& b) {
      return std::tie(a.exhausted, a.nothing_free, a.timed_out,
                      a.kv_unavailable) == std::tie(b.exhausted, b.nothing_free,
                                                    b.timed_out,
                                                    b.kv_unavailable);
    }
    friend bool operator!=(const Refusals& a, const Refusals& b) {
      return !(a == b);
    }
  };

  base::BudgetId budget;
  // True at the router that draws from the ledger and lends. Others don't know
  // what is free and in doubt.
  bool is_lender = false;
  bool is_scarce = false;
  // Set aside by no router.
  base::Tokens free = 0;
  // Granted or lent to this router and not used; a part of it may be reserved.
  base::Tokens held = 0;
  // Lent by this router and not known to be used or returned.
  base::Tokens lent = 0;
  // Neither free nor known to be used: of requests whose end is not known, and
  // of routers that ended.
  base::Tokens in_doubt = 0;
  // Known to be used.
  base::Tokens delivered = 0;
  // Granted to other routers or to incarnations that ended, and not known to be
  // used. At the lender, free, held, lent, in_doubt, delivered and elsewhere
  // add up to the limit.
  base::Tokens elsewhere = 0;
  Refusals refusals;

  friend bool operator==(const BudgetReport& a, const BudgetReport& b) {
    return std::tie(a.budget, a.is_lender, a.is_scarce, a.free, a.held, a.lent,
                    a.in_doubt, a.delivered, a.elsewhere, a.refusals) ==
           std::tie(b.budget, b.is_lender, b.is_scarce, b.free, b.held, b.lent,
                    b.in_doubt, b.delivered, b.elsewhere, b.refusals);
  }
  friend bool operator!=(const BudgetReport& a, const BudgetReport& b) {
    return !(a == b);
  }
};

}  // namespace godwit::ledger

#endif  // LEDGER_BUDGET_REPORT_H_
