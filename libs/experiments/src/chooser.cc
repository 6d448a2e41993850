#include "chooser.h"

#include <algorithm>

namespace godwit::experiments {

namespace {

using routing::Candidate;

struct ChooseVisitor {
  base::Millis now;
  const routing::PickRequest& request;
  std::vector<Candidate> candidates;

  std::optional<base::Incarnation> operator()(RoundRobin& robin) const {
    if (candidates.empty()) {
      return std::nullopt;
    }
    return candidates[robin.next++ % candidates.size()].agent;
  }

  // Starts the search one agent further each time, so that ties are spread over
  // the agents.
  std::optional<base::Incarnation> operator()(LeastInFlight& least) const {
    std::optional<base::Incarnation> best;
    for (size_t i = 0; i < candidates.size(); ++i) {
      const auto& agent =
          candidates[(least.next + i) % candidates.size()].agent;
      if (!best || least.in_flight[agent] < least.in_flight[*best]) {
        best = agent;
      }
    }
    ++least.next;
    return best;
  }

  std::optional<base::Incarnation> operator()(routing::Picker& picker) const {
    const routing::Pick pick = picker.Choose(now, request, candidates);
    const auto* picked = std::get_if<routing::PickedAgent>(&pick);
    return picked == nullptr ? std::nullopt : std::optional(picked->agent);
  }
};

std::vector<Candidate> Allowed(const routing::PickRequest& request,
                               std::vector<Candidate> candidates) {
  const auto& exclude = request.exclude;
  auto is_excluded = [&](const Candidate& candidate) {
    return std::find(exclude.begin(), exclude.end(), candidate.agent) !=
           exclude.end();
  };
  candidates.erase(
      std::remove_if(candidates.begin(), candidates.end(), is_excluded),
      candidates.end());
  return candidates;
}

void Finish(LeastInFlight& least, const base::AttemptId& attempt) {
  auto it = least.attempts.find(attempt);
  if (it != least.attempts.end()) {
    --least.in_flight[it->second];
    least.attempts.erase(it);
  }
}

// Notifies a picker through `call`; for least in flight, ends the attempt.
template <typename Call>
void End(Chooser& chooser, const base::AttemptId& attempt, Call call) {
  if (auto* picker = std::get_if<routing::Picker>(&chooser)) {
    call(*picker);
  }
  if (auto* least = std::get_if<LeastInFlight>(&chooser)) {
    Finish(*least, attempt);
  }
}

}  // namespace

std::optional<base::Incarnation> Choose(
    Chooser& chooser,
    base::Millis now,
    const routing::PickRequest& request,
    const std::vector<Candidate>& candidates) {
  return std::visit(ChooseVisitor{now, request, Allowed(request, candidates)},
                    chooser);
}

void OnStarted(Chooser& chooser,
               base::Millis now,
               const base::AttemptId& attempt,
               const base::Incarnation& agent,
               const routing::PickRequest& request) {
  if (auto* picker = std::get_if<routing::Picker>(&chooser)) {
    picker->OnStarted(now, attempt, agent, request);
  }
  if (auto* least = std::get_if<LeastInFlight>(&chooser)) {
    ++least->in_flight[agent];
    least->attempts[attempt] = agent;
  }
}

void OnFirstToken(Chooser& chooser,
                  base::Millis now,
                  const base::AttemptId& attempt) {
  if (auto* picker = std::get_if<routing::Picker>(&chooser)) {
    picker->OnFirstToken(now, attempt);
  }
}

void OnEnded(Chooser& chooser,
             base::Millis now,
             const base::AttemptId& attempt) {
  End(chooser, attempt,
      [&](routing::Picker& picker) { picker.OnEnded(now, attempt); });
}

void OnFailed(Chooser& chooser,
              base::Millis now,
              const base::AttemptId& attempt) {
  End(chooser, attempt,
      [&](routing::Picker& picker) { picker.OnFailed(now, attempt); });
}

void OnExpired(Chooser& chooser,
               base::Millis now,
               const base::AttemptId& attempt) {
  End(chooser, attempt,
      [&](routing::Picker& picker) { picker.OnRefused(now, attempt); });
}

void OnLoad(Chooser& chooser,
            base::Millis now,
            const base::Incarnation& agent,
            int64_t running,
            int64_t queued) {
  if (auto* picker = std::get_if<routing::Picker>(&chooser)) {
    picker->OnLoad(now, agent, running, queued);
  }
}

}  // namespace godwit::experiments
