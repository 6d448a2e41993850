#ifndef DISPATCH_DISPATCHER_OPTIONS_H_
#define DISPATCH_DISPATCHER_OPTIONS_H_

#include <cstddef>
#include <string>

#include "base/ids.h"
#include "dispatch/placement_options.h"
#include "ledger/metered_policy.h"

namespace godwit::dispatch {

// Settings of a Dispatcher.
struct DispatcherOptions {
  base::ProcessId process;
  base::Incarnation incarnation;
  PlacementOptions placement;
  ledger::MeteredPolicy budgets;
  // Retries to a service that all routers together may send: this share of its
  // requests, and so many more.
  double retry_ratio = 0.2;
  double retry_slack = 10;
  // Routers that are taken to share budgets and retries until they are counted.
  size_t assumed_routers = 8;
  // Key of the stored configuration, which writes to the ledger rely on.
  std::string configuration_key;
};

}  // namespace godwit::dispatch

#endif  // DISPATCH_DISPATCHER_OPTIONS_H_
