#ifndef CLAIMS_DIRECTORY_PLAN_H_
#define CLAIMS_DIRECTORY_PLAN_H_

#include <optional>
#include <tuple>
#include <vector>

#include "base/ids.h"
#include "base/millis.h"
#include "claims/directory_member.h"

namespace godwit::claims {

// Agents that hold the directory entry of a key. A router registers the key at
// the primary, then at the secondary, then at each shadow, and starts the run
// only after all of them that are not removed have answered.
struct DirectoryPlan {
  // Authoritative copy; empty only if the fleet has no agent.
  std::optional<DirectoryMember> primary;
  // Second copy, in another data centre where possible.
  std::optional<DirectoryMember> secondary;
  // Agents that will become primary or secondary for the key when younger
  // members mature or removed members are dropped. Their copies are not
  // authoritative yet.
  std::vector<DirectoryMember> shadows;
  // True if no copy can be queried: both agents were removed, and their entries
  // may still matter. The request is refused with kOutcomeUnknown.
  bool copies_lost = false;
  // Wall time from which the lost copies no longer matter for the key.
  base::Millis copies_lost_until;

  friend bool operator==(const DirectoryPlan& a, const DirectoryPlan& b) {
    return std::tie(a.primary, a.secondary, a.shadows, a.copies_lost,
                    a.copies_lost_until) == std::tie(b.primary, b.secondary,
                                                     b.shadows, b.copies_lost,
                                                     b.copies_lost_until);
  }
  friend bool operator!=(const DirectoryPlan& a, const DirectoryPlan& b) {
    return !(a == b);
  }
};

}  // namespace godwit::claims

#endif  // CLAIMS_DIRECTORY_PLAN_H_
