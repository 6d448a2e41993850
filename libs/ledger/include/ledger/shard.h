#ifndef LEDGER_SHARD_H_
#define LEDGER_SHARD_H_

#include <string>

#include "base/ids.h"

namespace godwit::ledger {

// Number of ledger keys among which budgets are divided. Must be the same in
// every process of a fleet for as long as its ledger exists.
constexpr int kShardCount = 64;

// Returns the shard of a budget, from 0 to `shard_count` - 1.
int ShardOf(const base::BudgetId& budget, int shard_count = kShardCount);

// Returns the KV key of a shard, "ledger/N".
std::string ShardKey(int shard);

}  // namespace godwit::ledger

#endif  // LEDGER_SHARD_H_
