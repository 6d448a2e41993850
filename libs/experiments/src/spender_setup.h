#ifndef EXPERIMENTS_SPENDER_SETUP_H_
#define EXPERIMENTS_SPENDER_SETUP_H_

#include <set>

#include "base/ids.h"

namespace godwit::experiments {

// Initial state of a router.
struct SpenderSetup {
  base::Incarnation self;
  // Number of routers in the fleet.
  int routers = 0;
  // False for a router that replaces a lost one.
  bool original = true;
  int shard_count = 0;
  std::set<base::Incarnation> agents;
  std::set<base::BudgetId> budgets;
};

}  // namespace godwit::experiments

#endif  // EXPERIMENTS_SPENDER_SETUP_H_
