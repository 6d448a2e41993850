#ifndef CLAIMS_PLAN_DIRECTORY_H_
#define CLAIMS_PLAN_DIRECTORY_H_

#include <vector>

#include "base/digest.h"
#include "base/millis.h"
#include "claims/directory_member.h"
#include "claims/directory_plan.h"
#include "claims/retention.h"

namespace godwit::claims {

// Assigns a key to agents by rendezvous hashing over the mature members: those
// that joined at least `retention` ago, or the two that joined first if fewer
// are mature. Members that were removed less than `retention` ago stay in the
// hash. The result depends only on the set of members, not on their order.
//
// Within the retention, an owner that was reported to all live members of a
// plan is known to a copy of every later plan, unless `copies_lost` is set for
// that plan. A fleet with a single live agent has no second copy: if that agent
// is lost, so are the owners.
DirectoryPlan PlanDirectory(const std::vector<DirectoryMember>& members,
                            const base::Digest& key,
                            base::Millis wall_now,
                            base::Millis retention = kDirectoryRetention);

}  // namespace godwit::claims

#endif  // CLAIMS_PLAN_DIRECTORY_H_
