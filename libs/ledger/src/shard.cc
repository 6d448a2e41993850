#include "ledger/shard.h"

#include "base/digest.h"

namespace godwit::ledger {

int ShardOf(const base::BudgetId& budget, int shard_count) {
  const uint64_t hash = base::Digest::Of(budget.value()).low();
  return static_cast<int>(hash % static_cast<uint64_t>(shard_count));
}

std::string ShardKey(int shard) {
  return "ledger/" + std::to_string(shard);
}

}  // namespace godwit::ledger
