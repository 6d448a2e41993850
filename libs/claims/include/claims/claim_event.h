#ifndef CLAIMS_CLAIM_EVENT_H_
#define CLAIMS_CLAIM_EVENT_H_

#include <variant>

#include "claims/claim_requested.h"
#include "claims/claim_tick.h"
#include "platform/kv_read_done.h"
#include "platform/kv_write_done.h"

namespace godwit::claims {

// Events handled by a ClaimWriter.
using ClaimEvent = std::variant<ClaimRequested,
                                ClaimTick,
                                platform::KvReadDone,
                                platform::KvWriteDone>;

}  // namespace godwit::claims

#endif  // CLAIMS_CLAIM_EVENT_H_
