#ifndef DISPATCH_DISPATCHER_OPTIONS_H_
#define DISPATCH_DISPATCHER_OPTIONS_H_

#include <cstddef>
#include <string>

#include "base/ids.h"
#include "base/millis.h"
#include "dispatch/placement_options.h"
#include "ledger/metered_policy.h"

namespace godwit::dispatch {

// Settings of a Dispatcher.
struct DispatcherOptions {
  base::ProcessId process;
  base::Incarnation incarnation;
  PlacementOptions placement;
  ledger::MeteredPolicy budgets;
  // Bound on the retries to a service from all routers together: a share of its
  // requests, plus a constant number.
  double retry_ratio = 0.2;
  double retry_slack = 10;
  // Span of time to which the bound applies. An earlier incarnation of this
  // router may have made its part of the constant number just before it ended,
  // so that this one makes only the share for so long after its start.
  base::Millis retry_window;
  // Number of routers assumed to share budgets and retries until the list of
  // routers is read.
  size_t assumed_routers = 8;
  // Time without following the configuration after which it may be outdated, so
  // that routes and keys that it does not have may exist.
  base::Millis configuration_lag{2000};
  // Key of the stored configuration, which writes to the ledger depend on.
  std::string configuration_key;
};

}  // namespace godwit::dispatch

#endif  // DISPATCH_DISPATCHER_OPTIONS_H_
