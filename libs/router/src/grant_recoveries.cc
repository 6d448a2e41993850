#include "grant_recoveries.h"

#include "call_lifecycle.h"

namespace godwit::router {

void GrantRecoveries::OnRunEnd(const base::Incarnation& agent_incarnation,
                               const link::RunEnd& end) {
  const auto grant = answers_.find(end.grant);
  if (grant == answers_.end()) {
    return;
  }
  grant->second[agent_incarnation][end.attempt] = end;
  call_lifecycle_.ConfirmRecovered(agent_incarnation, end);
}

std::optional<base::Tokens> GrantRecoveries::BillableUsage(
    const link::GrantUsage& usage) {
  const auto grant = answers_.find(usage.grant);
  if (grant == answers_.end()) {
    return usage.billed;
  }
  base::Tokens billed = usage.billed;
  for (const auto& [attempt, end] : grant->second[usage.incarnation]) {
    const auto allowed = call_lifecycle_.BillingDecision(attempt);
    if (!allowed) {
      call_lifecycle_.ConfirmRecovered(usage.incarnation, end);
      return std::nullopt;
    }
    billed -= *allowed ? 0 : end.billed;
  }
  return billed;
}

void GrantRecoveries::End(const base::GrantId& grant) {
  const auto position = answers_.find(grant);
  if (position == answers_.end()) {
    return;
  }
  for (const auto& [agent_incarnation, answers] : position->second) {
    for (const auto& [attempt, end] : answers) {
      call_lifecycle_.ForgetBillingDecision(attempt);
    }
  }
  answers_.erase(position);
}

}  // namespace godwit::router
