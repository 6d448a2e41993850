#ifndef LEDGER_BUDGET_H_
#define LEDGER_BUDGET_H_

#include <map>
#include <string>
#include <tuple>

#include "base/ids.h"
#include "ledger/grant.h"
#include "ledger/top_up.h"

namespace godwit::ledger {

// The prepaid tokens of an organisation.
struct Budget {
  // The organisation that spends it.
  base::OrganisationId organisation;
  // Sum of all top-ups.
  base::Tokens limit = 0;
  // Usage of closed grants.
  base::Tokens billed = 0;
  // Tokens of which it is not known whether they were used, because router and
  // agent were lost together; neither billed nor free until written off.
  base::Tokens held = 0;
  // Top-ups by operation id.
  std::map<std::string, TopUp> top_ups;
  // Open grants.
  std::map<base::GrantId, Grant> grants;
  // Tokens that each router is short of to serve its waiting requests.
  std::map<base::Incarnation, base::Tokens> wants;

  // Returns the tokens that no grant sets aside: limit - billed - held - all
  // amounts.
  base::Tokens free() const noexcept;
  // Returns the tokens billed so far, including open grants.
  base::Tokens total_billed() const noexcept;

  friend bool operator==(const Budget& a, const Budget& b) {
    return std::tie(a.organisation, a.limit, a.billed, a.held, a.top_ups,
                    a.grants, a.wants) == std::tie(b.organisation, b.limit,
                                                   b.billed, b.held, b.top_ups,
                                                   b.grants, b.wants);
  }
  friend bool operator!=(const Budget& a, const Budget& b) { return !(a == b); }
};

}  // namespace godwit::ledger

#endif  // LEDGER_BUDGET_H_
