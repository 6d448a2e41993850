#ifndef MEMBERSHIP_SUBSET_H_
#define MEMBERSHIP_SUBSET_H_

#include <cstddef>
#include <vector>

#include "base/ids.h"

namespace godwit::membership {

// A process that a router may link to.
struct SubsetMember {
  base::ProcessId process;
  base::DataCentreId data_centre;
};

// Returns at most `size` of the members, taken from the data centres in turn
// and, within a data centre, by rendezvous hashing of router and process.
std::vector<base::ProcessId> ChooseSubset(
    const base::ProcessId& router,
    const std::vector<SubsetMember>& members,
    size_t size);

}  // namespace godwit::membership

#endif  // MEMBERSHIP_SUBSET_H_
