#ifndef CLAIMS_DIRECTORY_MEMBER_H_
#define CLAIMS_DIRECTORY_MEMBER_H_

#include <tuple>

#include "base/ids.h"
#include "base/millis.h"
#include "claims/member_state.h"

namespace godwit::claims {

// One agent incarnation of the fleet record, as far as the directory needs it.
struct DirectoryMember {
  base::ProcessId process;
  base::Incarnation incarnation;
  base::DataCentreId data_centre;
  MemberState state = MemberState::kActive;
  // Wall time of the join.
  base::Millis joined_at;
  // Wall time at which it was marked as removed; unused in other states.
  base::Millis removed_at;

  friend bool operator==(const DirectoryMember& a, const DirectoryMember& b) {
    return std::tie(a.process, a.incarnation, a.data_centre, a.state,
                    a.joined_at, a.removed_at) ==
           std::tie(b.process, b.incarnation, b.data_centre, b.state,
                    b.joined_at, b.removed_at);
  }
  friend bool operator!=(const DirectoryMember& a, const DirectoryMember& b) {
    return !(a == b);
  }
};

}  // namespace godwit::claims

#endif  // CLAIMS_DIRECTORY_MEMBER_H_
