#ifndef ROUTER_CONTEXT_H_
#define ROUTER_CONTEXT_H_

#include <cstdint>
#include <deque>
#include <memory>
#include <optional>
#include <random>
#include <set>
#include <utility>
#include <vector>

#include "admission/organisation_limits.h"
#include "base/ids.h"
#include "base/millis.h"
#include "claims/claim_writer.h"
#include "config/config.h"
#include "kv_mux.h"
#include "ledger/budget_manager.h"
#include "membership/fleet_editor.h"
#include "membership/membership.h"
#include "router/router_command.h"
#include "router/router_options.h"
#include "routing/picker.h"
#include "routing/retry_budget.h"

namespace godwit::router {

// Components shared by the parts of a RouterCore, the time of the current
// event, and the commands collected while it is handled.
struct Context {
  explicit Context(RouterOptions router_options);

  // Queues a command of the current step.
  template <typename Command>
  void Emit(Command command) {
    out.emplace_back(std::move(command));
  }

  // Queues a message on the link to an agent incarnation. Returns false when it
  // is not linked.
  bool SendTo(const base::Incarnation& agent, link::Message message);
  // Requests a link to an agent that is not in the subsets of this router.
  void RequestLink(const base::ProcessId& agent);
  // Reads the fleet record again, unless a read is in flight.
  void RefreshFleet();
  base::AttemptId NewAttempt();
  // Advances a component. Its commands are queued in `budget_commands` or
  // `claim_commands` until the handler of the event has returned.
  void StepBudgetManager(const ledger::BudgetManagerEvent& event);
  void StepClaims(const claims::ClaimEvent& event);

  RouterOptions options;
  base::Millis now;
  base::Millis wall;
  std::vector<RouterCommand> out;
  std::deque<ledger::BudgetManagerCommand> budget_commands;
  std::deque<claims::ClaimCommand> claim_commands;
  std::shared_ptr<const config::Config> config;
  std::mt19937_64 random;
  membership::Membership membership;
  membership::FleetEditor editor;
  ledger::BudgetManager budget_manager;
  claims::ClaimWriter claims;
  routing::Picker picker;
  routing::RetryBudget retries;
  admission::OrganisationLimits limits;
  KvMux kv;
  bool draining = false;
  // When requests in progress are ended; empty unless the router is to stop.
  std::optional<base::Millis> stop_ends_at;
  bool refreshing_fleet = false;
  int64_t next_attempt = 1;
};

}  // namespace godwit::router

#endif  // ROUTER_CONTEXT_H_
