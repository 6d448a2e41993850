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
  // Who spends it.
  base::OrganisationId organisation;
  // Sum of all top-ups.
  base::Tokens limit = 0;
  // Usage of closed grants.
  base::Tokens billed = 0;
  // Tokens whose use is unknown because router and agent were lost
  // together; neither billed nor free until written off.
  base::Tokens held = 0;
  // Top-ups by operation id.
  std::map<std::string, TopUp> top_ups;
  // Open grants.
  std::map<base::GrantId, Grant> grants;
  // Tokens that a router lacks to serve what waits there.
  std::map<base::Incarnation, base::Tokens> wants;

  // Tokens that no grant sets aside: limit - billed - held - all amounts.
  base::Tokens free() const noexcept;
  // Tokens billed so far, open grants included.
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
