#ifndef CLAIMS_PLAN_DIRECTORY_H_
#define CLAIMS_PLAN_DIRECTORY_H_

#include <vector>

#include "base/digest.h"
#include "base/millis.h"
#include "claims/directory_member.h"
#include "claims/directory_plan.h"
#include "claims/retention.h"

namespace godwit::claims {

// Places a key by rendezvous hashing over the mature members: those that joined
// at least `retention` ago, filled up to two by join order, oldest first.
// Members gone for less than `retention` keep their place. The result depends
// on the set of members only, not on their order.
//
// An owner that all living members of a plan were told is known to a copy of
// every later plan within the retention, unless that one is blind. A fleet with
// a single living agent has no second copy: its loss loses the owners.
DirectoryPlan PlanDirectory(const std::vector<DirectoryMember>& members,
                            const base::Digest& key,
                            base::Millis wall_now,
                            base::Millis retention = kDirectoryRetention);

}  // namespace godwit::claims

#endif  // CLAIMS_PLAN_DIRECTORY_H_
