#include "claims_simulation.h"

#include <algorithm>
#include <string>
#include <utility>

namespace godwit::claims {
namespace {

using base::AttemptId;
using base::Incarnation;
using base::Millis;

constexpr Millis kStep(10);
// Interval at which messages to a paused process are retried.
constexpr Millis kResendDelay(200);

ClaimPolicy SimulationPolicy() {
  ClaimPolicy policy;
  policy.shard_count = 1;
  return policy;
}

base::Digest KeyDigest(int key) {
  return base::Digest::Of("key " + std::to_string(key));
}

}  // namespace

ClaimsSimulation::ClaimsSimulation(uint64_t seed, InjectedFault fault)
    : random_(seed), injected_fault_(fault), kv_(seed + 1) {
  kv_.faults().ignores_versions = fault == InjectedFault::kKvIgnoresVersions;
}

void ClaimsSimulation::StartRouter() {
  const Incarnation router_incarnation("router-" +
                                       std::to_string(routers_.size()));
  routers_.push_back(Router{
      ClaimWriter(router_incarnation, SimulationPolicy()), false, false, {}});
}

void ClaimsSimulation::StartAgent() {
  Agent agent;
  agent.incarnation = Incarnation("agent-" + std::to_string(agents_.size()));
  agents_.push_back(std::move(agent));
}

void ClaimsSimulation::PauseRouter(size_t index, bool paused) {
  routers_[index].paused = paused;
}

void ClaimsSimulation::PauseAgent(size_t index, bool paused) {
  agents_[index].paused = paused;
}

void ClaimsSimulation::Request(size_t router, int key) {
  if (routers_[router].failed) {
    return;
  }
  routers_[router].inbox.emplace_back(
      [this, router, key] { RequestClaim(router, key, AttemptId()); });
}

void ClaimsSimulation::RequestClaim(size_t router,
                                    int key,
                                    const AttemptId& replaces) {
  const AttemptId id("attempt-" + std::to_string(attempts_.size()));
  Attempt& attempt = attempts_[id];
  attempt.key = key;
  attempt.router = router;
  attempt.agent = random_() % agents_.size();
  Step(router, ClaimRequested{id, KeyDigest(key), base::Digest(),
                              agents_[attempt.agent].incarnation, replaces,
                              now_ + base::Seconds(5)});
}

void ClaimsSimulation::Step(size_t router, const ClaimEvent& event) {
  for (const ClaimCommand& command :
       routers_[router].writer.Step(now_, now_, event)) {
    std::visit([&](const auto& c) { Handle(router, c); }, command);
  }
}

void ClaimsSimulation::Handle(size_t router, const ClaimWon& command) {
  SendStart(command.attempt);
  const size_t agent = attempts_[command.attempt].agent;
  if (!Chance(30)) {
    return;
  }
  // The router stops waiting for the attempt.
  Tombstone(router, agent, command.attempt,
            [this, id = command.attempt](Phase phase) {
              End(id, phase == Phase::kTombstoned ? Outcome::kNotRun
                                                  : Outcome::kAnswered);
            });
}

void ClaimsSimulation::SendStart(const AttemptId& attempt) {
  const size_t agent = attempts_[attempt].agent;
  for (int copies = Chance(10) ? 2 : 1; copies > 0; --copies) {
    Send(false, agent, [this, agent, attempt] { Start(agent, attempt); });
  }
}

void ClaimsSimulation::Start(size_t agent, const AttemptId& id) {
  Phase& phase = agents_[agent].attempts[id];
  const bool starts =
      phase == Phase::kUnknown ||
      (phase == Phase::kRan &&
       injected_fault_ == InjectedFault::kAgentRepeatsAttempts) ||
      (phase == Phase::kTombstoned &&
       injected_fault_ == InjectedFault::kAgentIgnoresTombstones);
  if (!starts) {
    return;
  }
  phase = Phase::kRan;
  Attempt& attempt = attempts_[id];
  ++attempt.executions;
  ++executions_[attempt.key];
  Send(true, attempt.router, [this, id] { End(id, Outcome::kAnswered); });
}

void ClaimsSimulation::Handle(size_t router, const ClaimExists& command) {
  const size_t agent = AgentOf(command.claim.agent);
  const int key = attempts_[command.attempt].key;
  const AttemptId owner = command.claim.attempt;
  if (agents_[agent].failed) {
    End(command.attempt, Outcome::kUnknown);
    if (injected_fault_ == InjectedFault::kRouterReplacesClaimsOfFailedAgents) {
      RequestClaim(router, key, owner);
    }
    return;
  }
  Tombstone(router, agent, owner, [=, id = command.attempt](Phase phase) {
    if (phase == Phase::kRan) {
      End(id, Outcome::kAnswered);
      return;
    }
    End(id, Outcome::kNotRun);
    RequestClaim(router, key, owner);
  });
}

void ClaimsSimulation::Handle(size_t, const ClaimUnavailable& command) {
  End(command.attempt, Outcome::kNotRun);
  if (injected_fault_ == InjectedFault::kRouterStartsUnclaimed) {
    SendStart(command.attempt);
  }
}

void ClaimsSimulation::Handle(size_t router, const platform::KvRead& command) {
  kv_.Submit(now_, static_cast<int>(router), command);
}

void ClaimsSimulation::Handle(size_t router, const platform::KvWrite& command) {
  kv_.Submit(now_, static_cast<int>(router), command);
}

void ClaimsSimulation::Tombstone(size_t router,
                                 size_t agent,
                                 const AttemptId& attempt,
                                 const std::function<void(Phase)>& reply) {
  Send(false, agent, [=] {
    Phase& phase = agents_[agent].attempts[attempt];
    if (phase == Phase::kUnknown) {
      phase = Phase::kTombstoned;
    }
    Send(true, router, [reply, observed = phase] { reply(observed); });
  });
}

void ClaimsSimulation::End(const AttemptId& id, Outcome outcome) {
  Attempt& attempt = attempts_[id];
  if (attempt.outcome == Outcome::kOpen) {
    attempt.outcome = outcome;
  }
}

void ClaimsSimulation::Send(bool to_router,
                            size_t target,
                            std::function<void()> deliver) {
  const uint64_t longest = Chance(10) ? 3000 : 20;
  const Millis latency(static_cast<int64_t>(1 + random_() % longest));
  messages_.emplace(now_ + latency,
                    Message{to_router, target, std::move(deliver)});
}

void ClaimsSimulation::Advance(Millis span) {
  const Millis end = now_ + span;
  while (now_ < end) {
    now_ = now_ + kStep;
    while (!messages_.empty() && messages_.begin()->first <= now_) {
      const Message message = std::move(messages_.begin()->second);
      messages_.erase(messages_.begin());
      const bool failed = message.to_router ? routers_[message.target].failed
                                            : agents_[message.target].failed;
      const bool paused = message.to_router ? routers_[message.target].paused
                                            : agents_[message.target].paused;
      if (paused && !failed) {
        messages_.emplace(now_ + kResendDelay, message);
      } else if (!failed) {
        message.deliver();
      }
    }
    for (const auto& answer : kv_.Advance(now_)) {
      const auto router = static_cast<size_t>(answer.client);
      std::visit(
          [&](const auto& done) {
            routers_[router].inbox.emplace_back(
                [this, router, done] { Step(router, done); });
          },
          answer.done);
    }
    for (size_t i = 0; i < routers_.size(); ++i) {
      if (routers_[i].failed || routers_[i].paused) {
        continue;
      }
      const auto inbox = std::exchange(routers_[i].inbox, {});
      for (const auto& event : inbox) {
        event();
      }
      Step(i, ClaimTick{});
    }
  }
}

void ClaimsSimulation::Finish() {
  const bool ignores_versions = kv_.faults().ignores_versions;
  kv_.faults() = support::FakeKv::Faults();
  kv_.faults().ignores_versions = ignores_versions;
  for (auto& router : routers_) {
    router.paused = false;
  }
  for (auto& agent : agents_) {
    agent.paused = false;
  }
  Advance(base::Seconds(15));
}

int ClaimsSimulation::MostExecutions() const {
  int most = 0;
  for (const auto& [key, executions] : executions_) {
    most = std::max(most, executions);
  }
  return most;
}

bool ClaimsSimulation::RanAfterNotRun() const {
  return std::any_of(attempts_.begin(), attempts_.end(), [](const auto& entry) {
    return entry.second.outcome == Outcome::kNotRun &&
           entry.second.executions > 0;
  });
}

size_t ClaimsSimulation::count(Outcome outcome) const {
  return static_cast<size_t>(std::count_if(
      attempts_.begin(), attempts_.end(),
      [=](const auto& entry) { return entry.second.outcome == outcome; }));
}

size_t ClaimsSimulation::AgentOf(const Incarnation& incarnation) const {
  const auto found = std::find_if(
      agents_.begin(), agents_.end(),
      [&](const Agent& agent) { return agent.incarnation == incarnation; });
  return static_cast<size_t>(found - agents_.begin());
}

}  // namespace godwit::claims
