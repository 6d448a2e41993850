#ifndef CLAIMS_DIRECTORY_PLAN_H_
#define CLAIMS_DIRECTORY_PLAN_H_

#include <optional>
#include <tuple>
#include <vector>

#include "base/ids.h"
#include "base/millis.h"
#include "claims/directory_member.h"

namespace godwit::claims {

// Which agents hold the directory entry of a key. A router registers at the
// primary, then at the secondary, then at each shadow, and starts the run only
// after all of them that are not gone have answered.
struct DirectoryPlan {
  // Decides; empty only when the fleet has no agent.
  std::optional<DirectoryMember> primary;
  // Second copy, in another data centre where possible.
  std::optional<DirectoryMember> secondary;
  // Agents that will be asked for the key as younger members mature or gone
  // ones are dropped; copies that decide nothing yet.
  std::vector<DirectoryMember> shadows;
  // True when no copy can be asked: both are gone with entries that may still
  // matter. The request is refused with kOutcomeUnknown.
  bool copies_lost = false;
  // Wall time from which the key is no longer blind.
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
