#ifndef DISPATCH_DISPATCHER_H_
#define DISPATCH_DISPATCHER_H_

#include <cstddef>
#include <cstdint>
#include <memory>
#include <vector>

#include "base/millis.h"
#include "dispatch/dispatch_command.h"
#include "dispatch/dispatch_event.h"
#include "dispatch/dispatcher_options.h"
#include "ledger/budget_report.h"

namespace godwit::dispatch {

// Handles each request of a router that calls backend servers directly: route,
// API key, budget, slot, attempts, and exactly one final answer, at the latest
// when the deadline passes. A request that may run at most once is sent again
// only if it is proven not to have run, and is refused as not run only then.
// A state machine without I/O, clock or randomness. Not thread-safe.
class Dispatcher {
 public:
  explicit Dispatcher(DispatcherOptions options);
  ~Dispatcher();
  Dispatcher(const Dispatcher&) = delete;
  Dispatcher& operator=(const Dispatcher&) = delete;

  // Handles one event at `now`, a time of the monotonic clock. The returned
  // commands must be carried out in order.
  std::vector<DispatchCommand> Step(base::Millis now,
                                    const DispatchEvent& event);

  // True when requests can be served: a configuration is in force, the registry
  // of backend servers was read, and no drain was requested. False while the
  // store answers but the configuration is not followed for longer than
  // DispatcherOptions::configuration_lag: other routers know a newer one.
  bool ready() const;
  // Number of calls without a final answer.
  size_t open_calls() const;
  // Number of calls that wait for a slot at a backend server.
  size_t waiting_calls() const;
  // Number of servers that are cold, and of data centres to whose servers
  // nothing is sent.
  size_t cold_servers() const;
  size_t evacuated_data_centres() const;
  // True when, after DrainRequested, no call is open and all budgets were
  // returned.
  bool drained() const;
  // Version of the configuration in force; 0 before the first.
  int64_t config_version() const;
  // When the store last answered a list or watch of the configuration.
  base::Millis configuration_answered_at() const;
  // The era of the store in which this router has written to the ledger what it
  // knew of it.
  int64_t ledger_era() const;
  // Where the tokens of the prepaid budgets are, as this router knows it.
  std::vector<ledger::BudgetReport> budget_reports() const;

 private:
  struct State;
  std::unique_ptr<State> state_;
};

}  // namespace godwit::dispatch

#endif  // DISPATCH_DISPATCHER_H_
