#ifndef CLAIMS_DIRECTORY_MEMBER_H_
#define CLAIMS_DIRECTORY_MEMBER_H_

#include <tuple>

#include "base/ids.h"
#include "base/millis.h"
#include "claims/member_state.h"

namespace godwit::claims {

// One agent life of the fleet record, as far as the directory needs it.
struct DirectoryMember {
  // The agent.
  base::ProcessId process;
  // Its life.
  base::Incarnation incarnation;
  // Where it runs.
  base::DataCentreId data_centre;
  // Its standing.
  MemberState state = MemberState::kActive;
  // Wall time at which it joined.
  base::Millis joined_at;
  // Wall time at which it was marked gone; unused otherwise.
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
