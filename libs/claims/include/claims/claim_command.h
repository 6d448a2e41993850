#ifndef CLAIMS_CLAIM_COMMAND_H_
#define CLAIMS_CLAIM_COMMAND_H_

#include <variant>

#include "claims/claim_exists.h"
#include "claims/claim_unavailable.h"
#include "claims/claim_won.h"
#include "platform/kv_read.h"
#include "platform/kv_write.h"

namespace godwit::claims {

// Commands issued by a ClaimWriter. Operation numbers of reads and writes are
// unique within one writer.
using ClaimCommand = std::variant<ClaimWon,
                                  ClaimExists,
                                  ClaimUnavailable,
                                  platform::KvRead,
                                  platform::KvWrite>;

}  // namespace godwit::claims

#endif  // CLAIMS_CLAIM_COMMAND_H_
