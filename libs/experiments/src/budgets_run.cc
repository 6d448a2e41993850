#include "budgets_run.h"

#include <algorithm>
#include <string>
#include <utility>

#include "ledger/ledger_codec.h"
#include "ledger/ledger_edit.h"
#include "ledger/shard.h"

namespace godwit::experiments {
namespace {

using base::Millis;
using base::Tokens;

constexpr int kRouters = 3;
constexpr int kAgents = 4;
constexpr int kShards = 8;
constexpr Millis kStep(5);
constexpr Millis kTick(50);
// Period at which routers receive the list of live routers, and the time that a
// lost router stays on it.
constexpr Millis kLiveListPeriod(2000);
constexpr Millis kLeaseTtl(5000);
// Time until a lost router is replaced.
constexpr Millis kReplacement(5000);
// Latency in one direction between a router and an agent.
constexpr Millis kLinkLatency(2);
// Simulated time after the end of the workload.
constexpr Millis kCoolDown(60000);
// A budget is near its end when at most this percentage of it is left.
constexpr Tokens kNearEndPercent = 2;

std::string KeyOf(const base::BudgetId& budget) {
  return ledger::ShardKey(ledger::ShardOf(budget, kShards));
}

// Returns the value at a quantile of unsorted samples.
double Quantile(std::vector<double> samples, double quantile) {
  if (samples.empty()) {
    return 0;
  }
  std::sort(samples.begin(), samples.end());
  const auto last = static_cast<double>(samples.size() - 1);
  return samples[static_cast<size_t>(last * quantile)];
}

const char* NameOf(SpenderKind kind) {
  switch (kind) {
    case SpenderKind::kPolicy:
      return "policy";
    case SpenderKind::kCasForEach:
      return "CAS for each request";
    case SpenderKind::kEvenSplit:
      return "even split";
    case SpenderKind::kFixedGrants:
      return "fixed grants";
  }
  return "";
}

std::unique_ptr<Spender> MakeSpender(SpenderKind kind,
                                     const SpenderSetup& setup) {
  switch (kind) {
    case SpenderKind::kPolicy:
      return std::make_unique<Spender>(std::in_place_type<PolicySpender>,
                                       setup);
    case SpenderKind::kCasForEach:
      return std::make_unique<Spender>(std::in_place_type<CasSpender>, setup);
    case SpenderKind::kEvenSplit:
      return std::make_unique<Spender>(std::in_place_type<GrantSpender>, setup,
                                       GrantSpender::Sizing::kEvenSplit);
    case SpenderKind::kFixedGrants:
      return std::make_unique<Spender>(std::in_place_type<GrantSpender>, setup,
                                       GrantSpender::Sizing::kFixed);
  }
  return nullptr;
}

}  // namespace

BudgetsRun::BudgetsRun(const BudgetWorkload& workload,
                       SpenderKind kind,
                       uint64_t seed)
    : workload_(workload), kind_(kind), random_(seed), kv_(seed + 1) {
  for (int i = 0; i < kAgents; ++i) {
    agents_.emplace_back("agent-" + std::to_string(i));
  }
  CreateBudgets();
  for (int i = 0; i < kRouters; ++i) {
    StartRouter(true);
  }
  next_loss_ = workload.loss_period;
  result_.deployment = workload.deployment;
  result_.workload = workload.name;
  result_.version = NameOf(kind);
}

void BudgetsRun::CreateBudgets() {
  std::map<std::string, ledger::LedgerRecord> records;
  const auto names = BudgetNames();
  for (size_t i = 0; i < names.size(); ++i) {
    const Tokens limit = workload_.limits[i];
    const Tokens billed = limit / 100 * workload_.billed_percent;
    ledger::LedgerRecord& record = records[KeyOf(names[i])];
    ledger::LedgerEdit edit(record);
    edit.CreateBudget(names[i], base::OrganisationId(names[i].value()));
    edit.TopUp(names[i], "first", limit, now_);
    record = edit.record();
    record.budgets[names[i]].billed = billed;
    oracle_.Limit(names[i], limit);
    oracle_.Bill(names[i], 0, billed);
  }
  for (const auto& [key, record] : records) {
    kv_.Put(key, ledger::LedgerCodec().Encode(record));
  }
}

void BudgetsRun::TopUpAll() {
  const auto names = BudgetNames();
  for (size_t i = 0; i < names.size(); ++i) {
    const std::string key = KeyOf(names[i]);
    ledger::LedgerCodec codec;
    ledger::LedgerEdit edit(*codec.Decode(kv_.stored().at(key).value));
    edit.TopUp(names[i], "second", workload_.limits[i], now_);
    kv_.Put(key, codec.Encode(edit.record()));
    oracle_.Limit(names[i], 2 * workload_.limits[i]);
  }
}

void BudgetsRun::StartRouter(bool original) {
  const size_t index = routers_.size();
  SpenderSetup setup;
  setup.self = base::Incarnation("router-" + std::to_string(index));
  setup.routers = kRouters;
  setup.original = original;
  setup.shard_count = kShards;
  setup.agents.insert(agents_.begin(), agents_.end());
  for (const auto& name : BudgetNames()) {
    setup.budgets.insert(name);
  }
  routers_.emplace_back(setup.self, static_cast<int>(index));
  routers_.back().spender = MakeSpender(kind_, setup);
  live_.push_back(index);
}

BudgetsResult BudgetsRun::Run() {
  const Millis end = workload_.duration + kCoolDown;
  while (now_ < end) {
    now_ = now_ + kStep;
    ApplyFaults();
    RunEvents();
    DeliverAnswers();
    SendRequests();
    TickRouters();
  }
  const double seconds = static_cast<double>(end.count()) / 1000;
  result_.overspend = oracle_.overspend();
  result_.stranded = Stranded();
  result_.kv_writes_per_second = static_cast<double>(kv_.writes()) / seconds;
  result_.kv_reads_per_second = static_cast<double>(kv_.reads()) / seconds;
  result_.refusal_p50_ms = Quantile(refusal_ms_, 0.5);
  result_.refusal_p95_ms = Quantile(refusal_ms_, 0.95);
  return result_;
}

void BudgetsRun::ApplyFaults() {
  auto& faults = kv_.faults();
  const bool outage =
      now_ >= workload_.outage_from && now_ < workload_.outage_to;
  faults.unavailable = outage && workload_.partitioned_routers >= kRouters;
  faults.partitioned_clients.clear();
  for (int i = 0; outage && i < workload_.partitioned_routers; ++i) {
    faults.partitioned_clients.insert(i);
  }
  if (!topped_up_ && workload_.top_up_at > Millis() &&
      now_ >= workload_.top_up_at) {
    topped_up_ = true;
    TopUpAll();
  }
  if (workload_.loss_period > Millis() && now_ >= next_loss_ &&
      now_ < workload_.duration) {
    next_loss_ = next_loss_ + workload_.loss_period;
    LoseRouter();
  }
}

void BudgetsRun::LoseRouter() {
  const size_t position = random_() % live_.size();
  const size_t router = live_[position];
  live_.erase(live_.begin() + static_cast<std::ptrdiff_t>(position));
  routers_[router].spender.reset();
  Schedule(kLeaseTtl, [this, router] { routers_[router].lost = true; });
  Schedule(kReplacement, [this] { StartRouter(false); });
}

void BudgetsRun::SendRequests() {
  const auto& requests = workload_.requests;
  while (next_request_ < requests.size() &&
         requests[next_request_].at <= now_) {
    const BudgetRequest& request = requests[next_request_++];
    const size_t router = live_[random_() % live_.size()];
    const base::AttemptId id("attempt-" + std::to_string(next_request_));
    attempts_[id] = Attempt{&request, router, now_};
    ++result_.requests;
    RunSpender(router, [&](auto& spender, SpenderOutput& out) {
      spender.Reserve(now_, id, request.budget, request.amount, out);
    });
  }
}

template <typename Action>
void BudgetsRun::RunSpender(size_t router, Action action) {
  if (!routers_[router].spender) {
    return;
  }
  SpenderOutput out;
  std::visit([&](auto& spender) { action(spender, out); },
             *routers_[router].spender);
  ExecuteOutput(router, out);
}

void BudgetsRun::ExecuteOutput(size_t router, const SpenderOutput& out) {
  const int client = routers_[router].client;
  for (const auto& read : out.reads) {
    kv_.Submit(now_, client, read);
  }
  for (const auto& write : out.writes) {
    kv_.Submit(now_, client, write);
  }
  for (const auto& granted : out.granted) {
    Start(router, granted);
  }
  for (const auto& id : out.refused) {
    Refuse(router, id);
  }
  for (const auto& seal : out.seals) {
    Seal(router, seal);
  }
}

void BudgetsRun::Start(size_t router, const SpenderOutput::Granted& granted) {
  const BudgetRequest& request = *attempts_.at(granted.attempt).request;
  const size_t agent = random_() % agents_.size();
  oracle_.Reserve(request.budget, request.amount);
  accounts_[{granted.grant, agent}].running += request.amount;
  RunSpender(router, [&](auto& spender, SpenderOutput& out) {
    spender.Start(now_, granted.attempt, agents_[agent], out);
  });
  Schedule(request.length, [this, id = granted.attempt, grant = granted.grant,
                            agent] { End(id, grant, agent); });
}

void BudgetsRun::End(const base::AttemptId& id,
                     const base::GrantId& grant,
                     size_t agent) {
  const Attempt& attempt = attempts_.at(id);
  const BudgetRequest& request = *attempt.request;
  AgentAccount& account = accounts_[{grant, agent}];
  account.running -= request.amount;
  account.billed += request.bill;
  oracle_.Bill(request.budget, request.amount, request.bill);
  RunSpender(attempt.router, [&](auto& spender, SpenderOutput& out) {
    spender.Settle(now_, id, agents_[agent], request.bill, out);
  });
}

void BudgetsRun::Refuse(size_t router, const base::AttemptId& id) {
  const Attempt& attempt = attempts_.at(id);
  const BudgetRequest& request = *attempt.request;
  ++result_.refusals;
  refusal_ms_.push_back(static_cast<double>((now_ - attempt.at).count()));
  const Tokens left = oracle_.left(request.budget);
  if (left < request.amount) {
    return;
  }
  ++result_.false_refusals;
  const Tokens near_end = oracle_.limit(request.budget) / 100 * kNearEndPercent;
  if (ReachesKv(router) && left > near_end) {
    ++result_.false_refusals_kv_up;
  }
}

void BudgetsRun::Seal(size_t router, const ledger::SendSealGrant& seal) {
  const auto found = std::find(agents_.begin(), agents_.end(), seal.agent);
  const auto agent = static_cast<size_t>(found - agents_.begin());
  Schedule(kLinkLatency + kLinkLatency, [this, router, seal, agent] {
    AgentAccount& account = accounts_[{seal.grant, agent}];
    account.sealed = true;
    const ledger::AgentUsageReported report{
        seal.grant, seal.agent, account.billed, account.running, true};
    RunSpender(router, [&](auto& spender, SpenderOutput& out) {
      spender.Report(now_, report, out);
    });
  });
}

void BudgetsRun::RunEvents() {
  while (!events_.empty() && events_.begin()->first <= now_) {
    const auto action = std::move(events_.begin()->second);
    events_.erase(events_.begin());
    action();
  }
}

void BudgetsRun::DeliverAnswers() {
  for (const auto& answer : kv_.Advance(now_)) {
    const auto router = static_cast<size_t>(answer.client);
    std::visit(
        [&](const auto& done) {
          RunSpender(router, [&](auto& spender, SpenderOutput& out) {
            spender.Finish(now_, done, out);
          });
        },
        answer.done);
  }
}

void BudgetsRun::TickRouters() {
  if (now_ < next_tick_) {
    return;
  }
  next_tick_ = now_ + kTick;
  const bool lists_live = now_ >= next_live_list_;
  if (lists_live) {
    next_live_list_ = now_ + kLiveListPeriod;
  }
  for (const size_t router : std::vector<size_t>(live_)) {
    RunSpender(router, [&](auto& spender, SpenderOutput& out) {
      if (lists_live && ReachesKv(router)) {
        spender.UpdateLiveRouters(now_, LiveRouters(), out);
      }
      spender.Tick(now_, out);
    });
  }
}

bool BudgetsRun::ReachesKv(size_t router) const {
  const auto& faults = kv_.faults();
  return !faults.unavailable &&
         faults.partitioned_clients.count(routers_[router].client) == 0;
}

std::set<base::Incarnation> BudgetsRun::LiveRouters() const {
  std::set<base::Incarnation> live;
  for (size_t i = 0; i < routers_.size(); ++i) {
    // The lease of a router that is partitioned from the KV expires.
    if (!routers_[i].lost && ReachesKv(i)) {
      live.insert(routers_[i].self);
    }
  }
  return live;
}

Tokens BudgetsRun::Stranded() const {
  std::set<base::Incarnation> running;
  for (const size_t router : live_) {
    running.insert(routers_[router].self);
  }
  Tokens sum = 0;
  ledger::LedgerCodec codec;
  for (const auto& [key, stored] : kv_.stored()) {
    const auto record = codec.Decode(stored.value);
    for (const auto& [id, budget] : record->budgets) {
      sum += budget.held;
      for (const auto& [grant_id, grant] : budget.grants) {
        const bool removed = running.count(grant.holder) == 0;
        sum += removed ? grant.amount - grant.billed() : 0;
      }
    }
  }
  return sum;
}

void BudgetsRun::Schedule(Millis span, std::function<void()> action) {
  events_.emplace(now_ + span, std::move(action));
}

}  // namespace godwit::experiments
