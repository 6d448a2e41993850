#ifndef EXPERIMENTS_SPENDER_SETUP_H_
#define EXPERIMENTS_SPENDER_SETUP_H_

#include <set>

#include "base/ids.h"

namespace godwit::experiments {

// What a router knows when it starts.
struct SpenderSetup {
  base::Incarnation self;
  // Routers of the fleet.
  int routers = 0;
  // False for a router that replaces a lost one.
  bool original = true;
  int shard_count = 0;
  std::set<base::Incarnation> agents;
  std::set<base::BudgetId> budgets;
};

}  // namespace godwit::experiments

#endif  // EXPERIMENTS_SPENDER_SETUP_H_
