#ifndef CLAIMS_MEMBER_STATE_H_
#define CLAIMS_MEMBER_STATE_H_

#include <cstdint>

namespace godwit::claims {

// State of an agent in the fleet record.
enum class MemberState : uint8_t { kActive, kLeaving, kRemoved };

}  // namespace godwit::claims

#endif  // CLAIMS_MEMBER_STATE_H_
