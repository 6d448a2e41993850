#ifndef LINK_SEAL_GRANT_H_
#define LINK_SEAL_GRANT_H_

#include <tuple>

#include "base/ids.h"

namespace godwit::link {

// Router to agent: start no further run under a grant, and report its usage.
// Answered by GrantUsage.
struct SealGrant {
  // The grant.
  base::GrantId grant;

  // Calls visit(name, field) for each field, in wire order.
  template <typename Self, typename Visit>
  static void ForEachField(Self& self, Visit&& visit) {
    visit("grant", self.grant);
  }

  friend bool operator==(const SealGrant& a, const SealGrant& b) {
    return std::tie(a.grant) == std::tie(b.grant);
  }
  friend bool operator!=(const SealGrant& a, const SealGrant& b) {
    return !(a == b);
  }
};

}  // namespace godwit::link

#endif  // LINK_SEAL_GRANT_H_
