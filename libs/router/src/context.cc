#include "context.h"

#include <string>

namespace godwit::router {
namespace {

// Retry budget: share of requests that may be retried, and retries allowed at
// the start.
constexpr double kRetryRatio = 0.2;
constexpr double kRetryBurst = 20;
// Time for which a link opened on request is kept after its last use.
constexpr base::Millis kRequestedLinkLifetime = base::Seconds(60);

membership::MembershipSettings MembershipSettingsOf(
    const RouterOptions& options) {
  membership::MembershipSettings settings;
  settings.self = options.process;
  settings.subset_size = static_cast<size_t>(options.subset_size);
  return settings;
}

routing::PickerSettings PickerSettingsOf(const RouterOptions& options) {
  routing::PickerSettings settings;
  settings.data_centre = options.data_centre;
  return settings;
}

}  // namespace

Context::Context(RouterOptions router_options)
    : options(std::move(router_options)),
      random(options.seed),
      membership(MembershipSettingsOf(options)),
      editor(std::mt19937_64(random())),
      budget_manager(options.incarnation, ledger::BudgetManagerPolicy()),
      claims(options.incarnation, claims::ClaimPolicy()),
      picker(PickerSettingsOf(options), std::mt19937_64(random())),
      retries(kRetryRatio, kRetryBurst) {}

bool Context::SendTo(const base::Incarnation& agent, link::Message message) {
  const auto view = membership.Find(now, agent);
  if (!view || !view->connected) {
    return false;
  }
  Emit(SendMessage{view->connection, std::move(message)});
  return true;
}

void Context::RequestLink(const base::ProcessId& agent) {
  membership.KeepLinkUntil(agent, now + kRequestedLinkLifetime);
}

void Context::RefreshFleet() {
  if (refreshing_fleet) {
    return;
  }
  refreshing_fleet = true;
  platform::KvRead read;
  read.key = membership::kFleetKey;
  Emit(kv.Wrap(KvUser::kFleetRefresh, std::move(read)));
}

base::AttemptId Context::NewAttempt() {
  return base::AttemptId(options.incarnation.value() + "/" +
                         std::to_string(next_attempt++));
}

void Context::StepBudgetManager(const ledger::BudgetManagerEvent& event) {
  for (auto& command : budget_manager.Step(now, event)) {
    budget_commands.push_back(std::move(command));
  }
}

void Context::StepClaims(const claims::ClaimEvent& event) {
  for (auto& command : claims.Step(now, wall, event)) {
    claim_commands.push_back(std::move(command));
  }
}

}  // namespace godwit::router
