#include "membership/fleet_record.h"

#include <algorithm>
#include <numeric>
#include <set>
#include <tuple>
#include <utility>

namespace godwit::membership {

namespace {

bool JoinedBefore(const FleetAgent& a, const FleetAgent& b) {
  return std::tie(a.joined_at, a.incarnation) <
         std::tie(b.joined_at, b.incarnation);
}

void SetRemoved(FleetAgent& agent, base::Millis at) {
  if (agent.state == AgentState::kRemoved) {
    return;
  }
  agent.state = AgentState::kRemoved;
  agent.removed_at = at;
}

struct Applier {
  std::vector<FleetAgent>& agents;

  FleetAgent* Find(const base::Incarnation& incarnation) const {
    auto it = std::find_if(
        agents.begin(), agents.end(),
        [&](const FleetAgent& a) { return a.incarnation == incarnation; });
    return it == agents.end() ? nullptr : &*it;
  }

  void operator()(const Join& join) const {
    if (Find(join.agent.incarnation) != nullptr) {
      return;
    }
    for (FleetAgent& other : agents) {
      if (other.process == join.agent.process) {
        SetRemoved(other, join.agent.joined_at);
      }
    }
    agents.push_back(join.agent);
  }

  void operator()(const MarkLeaving& mark) const {
    FleetAgent* agent = Find(mark.incarnation);
    if (agent != nullptr && agent->state == AgentState::kActive) {
      agent->state = AgentState::kLeaving;
    }
  }

  void operator()(const MarkRemoved& mark) const {
    FleetAgent* agent = Find(mark.incarnation);
    if (agent != nullptr) {
      SetRemoved(*agent, mark.at);
    }
  }

  void operator()(const Prune& prune) const {
    auto is_expired = [&](const FleetAgent& a) {
      return a.state == AgentState::kRemoved &&
             a.removed_at <= prune.removed_until;
    };
    agents.erase(std::remove_if(agents.begin(), agents.end(), is_expired),
                 agents.end());
  }
};

}  // namespace

FleetRecord::FleetRecord(std::vector<FleetAgent> agents)
    : agents_(std::move(agents)) {
  std::sort(agents_.begin(), agents_.end(), JoinedBefore);
  std::set<base::Incarnation> incarnations;
  auto is_repeat = [&](const FleetAgent& agent) {
    return !incarnations.insert(agent.incarnation).second;
  };
  agents_.erase(std::remove_if(agents_.begin(), agents_.end(), is_repeat),
                agents_.end());
  by_incarnation_.resize(agents_.size());
  std::iota(by_incarnation_.begin(), by_incarnation_.end(), size_t{0});
  by_process_ = by_incarnation_;
  std::sort(by_incarnation_.begin(), by_incarnation_.end(),
            [this](size_t a, size_t b) {
              return agents_[a].incarnation < agents_[b].incarnation;
            });
  std::stable_sort(by_process_.begin(), by_process_.end(),
                   [this](size_t a, size_t b) {
                     return agents_[a].process < agents_[b].process;
                   });
}

const FleetAgent* FleetRecord::Find(
    const base::Incarnation& incarnation) const noexcept {
  auto it = std::lower_bound(by_incarnation_.begin(), by_incarnation_.end(),
                             incarnation,
                             [this](size_t i, const base::Incarnation& wanted) {
                               return agents_[i].incarnation < wanted;
                             });
  if (it == by_incarnation_.end() || agents_[*it].incarnation != incarnation) {
    return nullptr;
  }
  return &agents_[*it];
}

const FleetAgent* FleetRecord::FindLive(
    const base::ProcessId& process) const noexcept {
  auto it = std::lower_bound(by_process_.begin(), by_process_.end(), process,
                             [this](size_t i, const base::ProcessId& wanted) {
                               return agents_[i].process < wanted;
                             });
  for (; it != by_process_.end() && agents_[*it].process == process; ++it) {
    if (agents_[*it].state != AgentState::kRemoved) {
      return &agents_[*it];
    }
  }
  return nullptr;
}

FleetRecord FleetRecord::Apply(const FleetEdit& edit) const {
  std::vector<FleetAgent> agents = agents_;
  std::visit(Applier{agents}, edit);
  return FleetRecord(std::move(agents));
}

std::optional<Prune> FleetRecord::PruneDue(base::Millis wall) const noexcept {
  const base::Millis removed_until = wall - kRemovedRetention;
  for (const FleetAgent& agent : agents_) {
    if (agent.state == AgentState::kRemoved &&
        agent.removed_at <= removed_until) {
      return Prune{removed_until};
    }
  }
  return std::nullopt;
}

}  // namespace godwit::membership
