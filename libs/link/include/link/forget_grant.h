#ifndef LINK_FORGET_GRANT_H_
#define LINK_FORGET_GRANT_H_

#include <tuple>

#include "base/ids.h"

namespace godwit::link {

// Router to agent: the ledger has recorded the complete usage of a grant. The
// agent drops its account of the grant but keeps refusing runs under it.
struct ForgetGrant {
  // The grant.
  base::GrantId grant;

  // Calls visit(name, field) for each field, in wire order.
  template <typename Self, typename Visit>
  static void ForEachField(Self& self, Visit&& visit) {
    visit("grant", self.grant);
  }

  friend bool operator==(const ForgetGrant& a, const ForgetGrant& b) {
    return std::tie(a.grant) == std::tie(b.grant);
  }
  friend bool operator!=(const ForgetGrant& a, const ForgetGrant& b) {
    return !(a == b);
  }
};

}  // namespace godwit::link

#endif  // LINK_FORGET_GRANT_H_
