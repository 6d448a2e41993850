#include "recoveries.h"

#include "call_flow.h"

namespace godwit::router {

void Recoveries::OnRunEnd(const base::Incarnation& life,
                          const link::RunEnd& end) {
  const auto grant = answers_.find(end.grant);
  if (grant == answers_.end()) {
    return;
  }
  grant->second[life][end.attempt] = end;
  flow_.ConfirmForeign(life, end);
}

std::optional<base::Tokens> Recoveries::Billable(
    const link::GrantUsage& usage) {
  const auto grant = answers_.find(usage.grant);
  if (grant == answers_.end()) {
    return usage.billed;
  }
  base::Tokens billed = usage.billed;
  for (const auto& [attempt, end] : grant->second[usage.incarnation]) {
    const auto allowed = flow_.VerdictOf(attempt);
    if (!allowed) {
      flow_.ConfirmForeign(usage.incarnation, end);
      return std::nullopt;
    }
    billed -= *allowed ? 0 : end.billed;
  }
  return billed;
}

void Recoveries::End(const base::GrantId& grant) {
  const auto position = answers_.find(grant);
  if (position == answers_.end()) {
    return;
  }
  for (const auto& [life, answers] : position->second) {
    for (const auto& [attempt, end] : answers) {
      flow_.ForgetVerdict(attempt);
    }
  }
  answers_.erase(position);
}

}  // namespace godwit::router
