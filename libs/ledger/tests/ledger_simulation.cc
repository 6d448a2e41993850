#include "ledger_simulation.h"

#include <algorithm>

#include "ledger/ledger_codec.h"
#include "ledger/ledger_edit.h"
#include "ledger/shard.h"

namespace godwit::ledger {
namespace {

using base::Millis;
using base::Tokens;

const base::BudgetId kBudget("budget");
const base::OrganisationId kOrganisation("organisation");
constexpr Millis kStep(20);
constexpr Millis kTickInterval(50);
// Interval at which a message to an unreachable process is resent.
constexpr Millis kResendDelay(200);
// Time within which all grants must be closed once the faults have ended.
constexpr Millis kFinishTimeout(180000);
constexpr Millis kLeaseTtl(3000);
constexpr Millis kLeaseReadInterval(1000);

BudgetManagerPolicy SimulationPolicy() {
  BudgetManagerPolicy policy;
  policy.shard_count = 2;
  policy.near_end_tokens = 3000;
  policy.settle_period = Millis(500);
  policy.scan_period = Millis(2000);
  policy.idle_timeout = Millis(10000);
  return policy;
}

std::string Key() {
  return ShardKey(ShardOf(kBudget, SimulationPolicy().shard_count));
}

}  // namespace

LedgerSimulation::LedgerSimulation(uint64_t seed, InjectedFault injected)
    : random_(seed), injected_fault_(injected), kv_(seed + 1) {
  kv_.faults().ignores_versions = injected == InjectedFault::kKvIgnoresVersions;
  LedgerEdit edit((LedgerRecord()));
  edit.CreateBudget(kBudget, kOrganisation);
  kv_.Put(Key(), LedgerCodec().Encode(edit.record()));
}

void LedgerSimulation::StartRouter() {
  const base::Incarnation self("router-" + std::to_string(routers_.size()));
  routers_.push_back(std::make_unique<Router>(self, SimulationPolicy()));
  routers_.back()->lease_renewed_at = now_;
  routers_.back()->next_tick = now_;
  NotifyUsable(routers_.size() - 1);
}

void LedgerSimulation::StartAgent() {
  const base::Incarnation self("agent-" + std::to_string(agents_.size()));
  agents_.push_back(std::make_unique<Agent>(self));
  FakeAgent& core = agents_.back()->core;
  core.ignores_seal = injected_fault_ == InjectedFault::kAgentIgnoresSeal;
  core.omits_a_run = injected_fault_ == InjectedFault::kAgentOmitsRun;
  for (size_t router = 0; router < routers_.size(); ++router) {
    NotifyUsable(router);
  }
}

void LedgerSimulation::KillRouter(size_t index) {
  routers_[index]->terminated = true;
}

void LedgerSimulation::KillAgent(size_t index) {
  agents_[index]->terminated = true;
}

void LedgerSimulation::PauseRouter(size_t index, bool paused) {
  routers_[index]->paused = paused;
}

void LedgerSimulation::PauseAgent(size_t index, bool paused) {
  agents_[index]->paused = paused;
}

void LedgerSimulation::MarkRemoved(size_t index) {
  if (std::find(removed_.begin(), removed_.end(), index) == removed_.end()) {
    removed_.push_back(index);
  }
}

void LedgerSimulation::PartitionFromKv(size_t router, bool partitioned) {
  const auto client = static_cast<int>(router);
  if (partitioned) {
    kv_.faults().partitioned_clients.insert(client);
  } else {
    kv_.faults().partitioned_clients.erase(client);
  }
}

void LedgerSimulation::PartitionLink(size_t router,
                                     size_t agent,
                                     bool partitioned) {
  if (partitioned) {
    partitioned_links_.insert({router, agent});
  } else {
    partitioned_links_.erase({router, agent});
  }
}

void LedgerSimulation::Request(size_t router, Tokens amount) {
  Router& target = *routers_[router];
  if (target.terminated) {
    return;
  }
  const base::AttemptId attempt("attempt-" + std::to_string(next_attempt_++));
  target.waiting.insert(attempt);
  target.amounts[attempt] = amount;
  target.inbox.emplace_back(
      ReserveRequested{attempt, kBudget, amount, {}, now_ + base::Seconds(5)});
}

void LedgerSimulation::TopUp(const std::string& operation, Tokens amount) {
  for (int i = 0; i < 2; ++i) {
    LedgerEdit edit(StoredRecord());
    edit.TopUp(kBudget, operation, amount, now_);
    kv_.Put(Key(), LedgerCodec().Encode(edit.record()));
  }
}

void LedgerSimulation::Advance(Millis span) {
  const Millis end = now_ + span;
  while (now_ < end) {
    now_ = now_ + kStep;
    AdvanceAgents();
    DeliverMessages();
    DeliverAnswers();
    for (size_t i = 0; i < routers_.size(); ++i) {
      TickRouter(i);
    }
  }
}

void LedgerSimulation::AdvanceAgents() {
  for (size_t i = 0; i < agents_.size(); ++i) {
    Agent& agent = *agents_[i];
    if (agent.terminated || agent.paused) {
      continue;
    }
    for (const FakeAgent::Run& run : agent.core.Advance(now_)) {
      const auto router = static_cast<size_t>(run.router);
      Send(router, i, true, [this, run, i] { EndRun(run, i); });
    }
  }
}

void LedgerSimulation::EndRun(const FakeAgent::Run& run, size_t agent) {
  const auto index = static_cast<size_t>(run.router);
  Router& router = *routers_[index];
  if (router.running.erase(run.attempt) == 0) {
    return;
  }
  answered_[run.attempt] = run.bill;
  if (injected_fault_ == InjectedFault::kRouterDropsBills) {
    Step(index, RunReleased{run.attempt});
    return;
  }
  Step(index,
       RunSettled{run.attempt, agents_[agent]->core.incarnation(), run.bill});
}

void LedgerSimulation::TickRouter(size_t index) {
  Router& router = *routers_[index];
  if (router.terminated || router.paused) {
    return;
  }
  while (!router.inbox.empty()) {
    const BudgetManagerEvent event = std::move(router.inbox.front());
    router.inbox.pop_front();
    Step(index, event);
  }
  if (now_ < router.next_tick) {
    return;
  }
  router.next_tick = now_ + kTickInterval;
  ProcessRemovals(index);
  if (ReachesKv(index)) {
    router.lease_renewed_at = now_;
    if (now_ >= router.next_lease_read) {
      router.next_lease_read = now_ + kLeaseReadInterval;
      Step(index, LiveHoldersListed{LiveRouters()});
    }
  }
  Step(index, Tick{});
}

void LedgerSimulation::ProcessRemovals(size_t index) {
  Router& router = *routers_[index];
  if (!ReachesKv(index)) {
    return;
  }
  while (router.processed_removals < removed_.size()) {
    const size_t agent = removed_[router.processed_removals++];
    const bool released = random_() % 2 == 0;
    for (auto it = router.running.begin(); it != router.running.end();) {
      if (it->second != agent) {
        ++it;
        continue;
      }
      if (released) {
        abandoned_.insert(it->first);
        Step(index, RunReleased{it->first});
      }
      it = router.running.erase(it);
    }
    Step(index, AgentRemoved{agents_[agent]->core.incarnation()});
    NotifyUsable(index);
  }
}

std::set<base::Incarnation> LedgerSimulation::LiveRouters() const {
  std::set<base::Incarnation> live;
  for (const auto& router : routers_) {
    if (now_ - router->lease_renewed_at < kLeaseTtl) {
      live.insert(router->incarnation);
    }
  }
  return live;
}

bool LedgerSimulation::ReachesKv(size_t router) const {
  const support::FakeKv::Faults& faults = kv_.faults();
  return !faults.unavailable &&
         faults.partitioned_clients.count(static_cast<int>(router)) == 0;
}

void LedgerSimulation::NotifyUsable(size_t router) {
  std::set<base::Incarnation> usable;
  for (size_t i = 0; i < agents_.size(); ++i) {
    const auto& processed = removed_;
    const auto end =
        processed.begin() +
        static_cast<std::ptrdiff_t>(routers_[router]->processed_removals);
    if (!agents_[i]->terminated &&
        std::find(processed.begin(), end, i) == end) {
      usable.insert(agents_[i]->core.incarnation());
    }
  }
  routers_[router]->inbox.emplace_back(AgentsChanged{usable});
}

void LedgerSimulation::Step(size_t router, const BudgetManagerEvent& event) {
  const auto commands = routers_[router]->manager.Step(now_, event);
  for (const BudgetManagerCommand& command : commands) {
    std::visit([&](const auto& c) { Handle(router, c); }, command);
  }
}

void LedgerSimulation::Handle(size_t router, const ReserveGranted& command) {
  Router& owner = *routers_[router];
  owner.waiting.erase(command.attempt);
  ++granted_;
  std::vector<size_t> usable;
  for (size_t i = 0; i < agents_.size(); ++i) {
    if (owner.manager.MaySpendAt(command.grant,
                                 agents_[i]->core.incarnation())) {
      usable.push_back(i);
    }
  }
  if (usable.empty()) {
    Step(router, RunReleased{command.attempt});
    return;
  }
  StartRun(router, command.attempt, command.grant,
           usable[random_() % usable.size()]);
}

void LedgerSimulation::StartRun(size_t router,
                                const base::AttemptId& attempt,
                                const base::GrantId& grant,
                                size_t agent) {
  Router& owner = *routers_[router];
  const Tokens reserved = owner.amounts[attempt];
  owner.running[attempt] = agent;
  Step(router, RunStarted{attempt, agents_[agent]->core.incarnation()});
  FakeAgent::Run run;
  run.attempt = attempt;
  run.grant = grant;
  run.router = static_cast<int>(router);
  run.reserved = reserved;
  run.bill = reserved == 0
                 ? 0
                 : static_cast<Tokens>(random_() %
                                       static_cast<uint64_t>(reserved + 1));
  const Millis length(static_cast<int64_t>(random_() % 3000));
  Send(router, agent, false, [this, router, agent, run, length]() mutable {
    run.ends_at = now_ + length;
    if (agents_[agent]->core.Start(run)) {
      return;
    }
    Send(router, agent, true, [this, router, attempt = run.attempt] {
      if (routers_[router]->running.erase(attempt) != 0) {
        Step(router, RunReleased{attempt});
      }
    });
  });
}

void LedgerSimulation::Handle(size_t router, const ReserveRefused& command) {
  routers_[router]->waiting.erase(command.attempt);
  refused_[command.attempt] = command.error;
  if (injected_fault_ == InjectedFault::kRouterStartsRefused) {
    StartRun(router, command.attempt, base::GrantId("none"),
             random_() % agents_.size());
  }
}

void LedgerSimulation::Handle(size_t router, const SendSealGrant& command) {
  const size_t agent = AgentOf(command.agent);
  if (injected_fault_ == InjectedFault::kRecoverySkipsAgents) {
    routers_[router]->inbox.emplace_back(
        AgentUsageReported{command.grant, command.agent, 0, 0, true});
    return;
  }
  Send(router, agent, false, [this, router, agent, grant = command.grant] {
    AgentSeals(router, agent, grant);
  });
}

void LedgerSimulation::AgentSeals(size_t router,
                                  size_t agent,
                                  const base::GrantId& grant) {
  const AgentUsageReported report = agents_[agent]->core.Seal(grant);
  Send(router, agent, true, [this, router, report] { Step(router, report); });
}

void LedgerSimulation::Handle(size_t, const SendForgetGrant&) {}

void LedgerSimulation::Handle(size_t, const Drained&) {
  ++drained_;
}

void LedgerSimulation::Handle(size_t router, const platform::KvRead& command) {
  kv_.Submit(now_, static_cast<int>(router), command);
}

void LedgerSimulation::Handle(size_t router, const platform::KvWrite& command) {
  kv_.Submit(now_, static_cast<int>(router), command);
}

Millis LedgerSimulation::Latency() {
  const uint64_t percentile = random_() % 100;
  const uint64_t longest = percentile < 5 ? 4000 : 30;
  return Millis(static_cast<int64_t>(1 + random_() % longest));
}

void LedgerSimulation::Send(size_t router,
                            size_t agent,
                            bool to_router,
                            std::function<void()> deliver) {
  const Message message{router, agent, to_router, std::move(deliver)};
  messages_.emplace(now_ + Latency(), message);
  const bool duplicated = random_() % 100 < 5;
  if (duplicated) {
    messages_.emplace(now_ + Latency(), message);
  }
}

void LedgerSimulation::DeliverMessages() {
  while (!messages_.empty() && messages_.begin()->first <= now_) {
    const Message message = std::move(messages_.begin()->second);
    messages_.erase(messages_.begin());
    const Router& router = *routers_[message.router];
    const Agent& agent = *agents_[message.agent];
    const bool lost = message.to_router ? router.terminated : agent.terminated;
    if (lost) {
      continue;
    }
    const bool late =
        (message.to_router ? router.paused : agent.paused) ||
        partitioned_links_.count({message.router, message.agent}) != 0;
    if (late) {
      messages_.emplace(now_ + kResendDelay, message);
      continue;
    }
    message.deliver();
  }
}

void LedgerSimulation::DeliverAnswers() {
  for (const auto& answer : kv_.Advance(now_)) {
    Router& router = *routers_[static_cast<size_t>(answer.client)];
    if (router.terminated) {
      continue;
    }
    std::visit([&](const auto& done) { router.inbox.emplace_back(done); },
               answer.done);
  }
}

bool LedgerSimulation::Finish() {
  const bool ignores_versions = kv_.faults().ignores_versions;
  kv_.faults() = support::FakeKv::Faults();
  kv_.faults().ignores_versions = ignores_versions;
  partitioned_links_.clear();
  for (size_t i = 0; i < agents_.size(); ++i) {
    agents_[i]->paused = false;
    if (agents_[i]->terminated) {
      MarkRemoved(i);
    }
  }
  for (auto& router : routers_) {
    router->paused = false;
  }
  Advance(base::Seconds(10));
  for (auto& router : routers_) {
    if (!router->terminated) {
      router->inbox.emplace_back(DrainRequested{});
    }
  }
  StartRouter();
  const Millis end = now_ + kFinishTimeout;
  while (now_ < end && !StoredBudget().grants.empty()) {
    Advance(Millis(500));
  }
  Advance(base::Seconds(1));
  return StoredBudget().grants.empty();
}

LedgerRecord LedgerSimulation::StoredRecord() const {
  const auto found = kv_.stored().find(Key());
  LedgerCodec codec;
  return codec.Decode(found->second.value).value_or(LedgerRecord());
}

Budget LedgerSimulation::StoredBudget() const {
  return StoredRecord().budgets[kBudget];
}

bool LedgerSimulation::RecordIsValid() const {
  LedgerCodec codec;
  return codec.Decode(kv_.stored().at(Key()).value).has_value();
}

Tokens LedgerSimulation::Committed() const {
  Tokens sum = 0;
  for (const auto& agent : agents_) {
    for (const FakeAgent::Run& run : agent->core.runs()) {
      if (abandoned_.count(run.attempt) != 0) {
        continue;
      }
      sum += run.ended ? run.bill : (agent->terminated ? 0 : run.reserved);
    }
  }
  return sum;
}

Tokens LedgerSimulation::Answered() const {
  Tokens sum = 0;
  for (const auto& [attempt, bill] : answered_) {
    sum += bill;
  }
  return sum;
}

Tokens LedgerSimulation::Ended() const {
  Tokens sum = 0;
  for (const auto& agent : agents_) {
    for (const FakeAgent::Run& run : agent->core.runs()) {
      sum += run.ended ? run.bill : 0;
    }
  }
  return sum;
}

bool LedgerSimulation::RefusedNeverRan() const {
  for (const auto& agent : agents_) {
    for (const FakeAgent::Run& run : agent->core.runs()) {
      if (refused_.count(run.attempt) != 0) {
        return false;
      }
    }
  }
  return true;
}

size_t LedgerSimulation::Unanswered() const {
  size_t sum = 0;
  for (const auto& router : routers_) {
    sum += router->terminated ? 0 : router->waiting.size();
  }
  return sum;
}

size_t LedgerSimulation::AgentOf(const base::Incarnation& incarnation) const {
  for (size_t i = 0; i < agents_.size(); ++i) {
    if (agents_[i]->core.incarnation() == incarnation) {
      return i;
    }
  }
  return agents_.size();
}

}  // namespace godwit::ledger
