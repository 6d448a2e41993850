#ifndef LEDGER_AGENT_USAGE_REPORTED_H_
#define LEDGER_AGENT_USAGE_REPORTED_H_

#include <tuple>

#include "base/ids.h"

namespace godwit::ledger {

// Event: an agent reported its usage under a grant, as in link::GrantUsage.
struct AgentUsageReported {
  base::GrantId grant;
  base::Incarnation agent;
  // Tokens of ended runs.
  base::Tokens billed = 0;
  // Tokens reserved by runs that have not ended.
  base::Tokens running = 0;
  // True if no further runs start under the grant.
  bool sealed = false;

  friend bool operator==(const AgentUsageReported& a,
                         const AgentUsageReported& b) {
    return std::tie(a.grant, a.agent, a.billed, a.running, a.sealed) ==
           std::tie(b.grant, b.agent, b.billed, b.running, b.sealed);
  }
  friend bool operator!=(const AgentUsageReported& a,
                         const AgentUsageReported& b) {
    return !(a == b);
  }
};

}  // namespace godwit::ledger

#endif  // LEDGER_AGENT_USAGE_REPORTED_H_
