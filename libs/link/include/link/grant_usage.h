#ifndef LINK_GRANT_USAGE_H_
#define LINK_GRANT_USAGE_H_

#include <tuple>

#include "base/ids.h"

namespace godwit::link {

// Agent to router: usage of a grant at this agent.
struct GrantUsage {
  // The grant.
  base::GrantId grant;
  // The agent incarnation that counted the usage.
  base::Incarnation incarnation;
  // Tokens of ended runs.
  base::Tokens billed = 0;
  // Tokens reserved by runs that have not ended.
  base::Tokens running = 0;
  // True when no further run starts under the grant.
  bool sealed = false;

  // Calls visit(name, field) for each field, in wire order.
  template <typename Self, typename Visit>
  static void ForEachField(Self& self, Visit&& visit) {
    visit("grant", self.grant);
    visit("incarnation", self.incarnation);
    visit("billed", self.billed);
    visit("running", self.running);
    visit("sealed", self.sealed);
  }

  friend bool operator==(const GrantUsage& a, const GrantUsage& b) {
    return std::tie(a.grant, a.incarnation, a.billed, a.running, a.sealed) ==
           std::tie(b.grant, b.incarnation, b.billed, b.running, b.sealed);
  }
  friend bool operator!=(const GrantUsage& a, const GrantUsage& b) {
    return !(a == b);
  }
};

}  // namespace godwit::link

#endif  // LINK_GRANT_USAGE_H_
