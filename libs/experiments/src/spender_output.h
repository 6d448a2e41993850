#ifndef EXPERIMENTS_SPENDER_OUTPUT_H_
#define EXPERIMENTS_SPENDER_OUTPUT_H_

#include <vector>

#include "base/ids.h"
#include "ledger/send_seal_grant.h"
#include "platform/kv_read.h"
#include "platform/kv_write.h"

namespace godwit::experiments {

// Commands of a spending strategy to the simulation.
struct SpenderOutput {
  struct Granted {
    base::AttemptId attempt;
    base::GrantId grant;
  };

  std::vector<Granted> granted;
  std::vector<base::AttemptId> refused;
  std::vector<platform::KvRead> reads;
  std::vector<platform::KvWrite> writes;
  std::vector<ledger::SendSealGrant> seals;
};

}  // namespace godwit::experiments

#endif  // EXPERIMENTS_SPENDER_OUTPUT_H_
