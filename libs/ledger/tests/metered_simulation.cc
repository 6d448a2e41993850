#include "metered_simulation.h"

#include <algorithm>
#include <optional>
#include <utility>
#include <variant>

#include "ledger/ledger_codec.h"
#include "ledger/ledger_record.h"
#include "ledger/shard.h"
#include "ledger/usage.h"
#include "simulated_router.h"

namespace godwit::ledger {
namespace {

constexpr char kConfigKey[] = "configuration";
constexpr base::Millis kStep(5);
constexpr base::Millis kLeap(60'000);
constexpr uint64_t kMaxSkew = 20'000;
const base::BudgetId kBudget("kiosks");

MeteredPolicy PolicyWith(base::Millis outage_cover) {
  MeteredPolicy policy;
  policy.outage_cover = outage_cover;
  return policy;
}

}  // namespace

MeteredSimulation::MeteredSimulation(uint64_t seed,
                                     size_t routers,
                                     base::Tokens limit,
                                     base::Millis outage_cover)
    : MeteredSimulation(seed, routers, limit, PolicyWith(outage_cover)) {}

MeteredSimulation::MeteredSimulation(uint64_t seed,
                                     size_t routers,
                                     base::Tokens limit,
                                     const MeteredPolicy& policy)
    : kv_(seed),
      random_(seed),
      policy_(policy),
      limit_(limit),
      highest_limit_(limit) {
  kv_.Put(kConfigKey, "1");
  for (size_t i = 0; i < routers; ++i) {
    routers_.push_back(std::make_unique<Router>());
    routers_[i]->name = "router-" + std::to_string(i);
    Restart(i);
  }
}

MeteredSimulation::~MeteredSimulation() = default;

void MeteredSimulation::Restart(size_t index, bool with_vm) {
  Router& router = *routers_[index];
  if (with_vm) {
    router.skew = base::Millis(static_cast<int64_t>(random_() % kMaxSkew));
  }
  used_by_terminated_ += router.used;
  for (const Router::Running& running : router.running) {
    used_by_terminated_ += running.UsedBy(now_);
  }
  for (const Router::Timed& timed : router.timed) {
    used_by_terminated_ += timed.request.amount;
  }
  router.running.clear();
  router.timed.clear();
  router.waiting.clear();
  router.used = 0;
  router.known_config = platform::KvVersion();
  router.eras = platform::EraTracker();
  router.next_poll_at = base::Millis();
  router.knows_peers = false;
  router.incarnation = static_cast<int>(++incarnations_);
  router.leap = base::Millis();
  MeteredPolicy policy = policy_;
  policy.shard_count = keys_;
  router.manager = std::make_unique<MeteredBudgetManager>(
      base::ProcessId(router.name),
      base::Incarnation(router.name + "." + std::to_string(router.incarnation)),
      policy);
  router.manager->SetRouters(routers_.size());
  if (router.partitioned) {
    kv_.faults().partitioned_clients.insert(router.incarnation);
  }
  NotifyPeers();
}

void MeteredSimulation::PowerOff(size_t index, base::Millis down) {
  routers_[index]->off_until = now_ + down;
  Restart(index, true);
}

void MeteredSimulation::BreakPromises() {
  for (const auto& router : routers_) {
    router->leap = kLeap;
  }
}

void MeteredSimulation::JumpClock(size_t index, base::Millis by) {
  routers_[index]->wall_error = routers_[index]->wall_error + by;
}

base::Millis MeteredSimulation::TimeOf(const Router& router) const {
  return now_ + router.skew + router.leap;
}

bool MeteredSimulation::IsOff(const Router& router) const {
  return now_ < router.off_until;
}

void MeteredSimulation::Connect(int lost_percent) {
  connected_ = true;
  lost_percent_ = lost_percent;
  NotifyPeers();
}

void MeteredSimulation::Isolate(size_t index, bool isolated) {
  routers_[index]->isolated = isolated;
}

void MeteredSimulation::Mute(size_t index, bool muted) {
  routers_[index]->muted = muted;
}

void MeteredSimulation::BeginEras() {
  kv_.BeginEras();
}

void MeteredSimulation::ReturnFromCopy(base::Millis age) {
  kv_.ReturnFromCopy(age);
  directory_.clear();
  kv_.Put(kConfigKey, std::to_string(config_number_));
}

platform::KvVersion MeteredSimulation::ConfigVersion() const {
  return {hides_eras_ ? 0 : kv_.era(), kv_.stored().at(kConfigKey).version};
}

void MeteredSimulation::Partition(size_t index, bool partitioned) {
  Router& router = *routers_[index];
  router.partitioned = partitioned;
  auto& clients = kv_.faults().partitioned_clients;
  if (partitioned) {
    clients.insert(router.incarnation);
  } else {
    clients.erase(router.incarnation);
  }
}

void MeteredSimulation::SetLimit(base::Tokens limit) {
  limit_ = limit;
  highest_limit_ = std::max(highest_limit_, limit);
  ++config_number_;
  kv_.Put(kConfigKey, std::to_string(config_number_));
}

void MeteredSimulation::Request(size_t index,
                                base::Tokens amount,
                                int64_t urgency) {
  Router& router = *routers_[index];
  if (IsOff(router)) {
    return;
  }
  router.waiting.push_back({amount, now_, urgency, {}, std::nullopt});
  TryReserve(router);
  delayed_ += router.waiting.empty() ? 0 : 1;
}

void MeteredSimulation::Request(size_t index, const TimedRequest& request) {
  Router& router = *routers_[index];
  if (IsOff(router)) {
    return;
  }
  router.waiting.push_back(
      {request.amount, now_, request.urgency, {}, request});
  TryReserve(router);
}

void MeteredSimulation::EndTimedRequests(Router& router) {
  const auto ended = std::stable_partition(
      router.timed.begin(), router.timed.end(),
      [this](const Router::Timed& timed) { return timed.ends_at > now_; });
  for (auto timed = ended; timed != router.timed.end(); ++timed) {
    const TimedRequest& request = timed->request;
    const Usage usage = request.is_proven
                            ? Usage{request.used, 0}
                            : Usage{request.amount, request.amount};
    router.used += usage.tokens;
    router.manager->Settle(TimeOf(router), kBudget, request.amount, usage);
  }
  router.timed.erase(ended, router.timed.end());
}

void MeteredSimulation::TryReserve(Router& router) {
  std::deque<Router::Waiting> still_waiting;
  for (const Router::Waiting& waiting : router.waiting) {
    const auto result = router.manager->Reserve(
        TimeOf(router), kBudget, waiting.amount,
        waiting.since + router.skew + router.leap, waiting.urgency);
    if (waiting.timed && result != MeteredBudgetManager::ReserveResult::kWait) {
      outcomes_.push_back(
          {*waiting.timed, result, now_ - waiting.since, Used()});
    }
    switch (result) {
      case MeteredBudgetManager::ReserveResult::kReserved:
        if (waiting.timed) {
          router.timed.push_back(
              {*waiting.timed, now_ + waiting.timed->duration});
        } else {
          router.running.push_back({waiting.amount, now_, waiting.course});
        }
        last_served_at_ = now_;
        ++served_;
        break;
      case MeteredBudgetManager::ReserveResult::kWait:
        still_waiting.push_back(waiting);
        break;
      case MeteredBudgetManager::ReserveResult::kExhausted:
        ++exhausted_;
        if (Used() + waiting.amount <= router.known_limit) {
          ++falsely_exhausted_;
        }
        break;
      case MeteredBudgetManager::ReserveResult::kUnavailable:
        ++refused_;
        last_refused_at_ = now_;
        break;
    }
  }
  router.waiting = std::move(still_waiting);
}

void MeteredSimulation::Finish(size_t index, int used_percent) {
  Router& router = *routers_[index];
  if (router.running.empty()) {
    return;
  }
  const base::Tokens amount = router.running.front().amount;
  router.running.pop_front();
  const base::Tokens used = amount * used_percent / 100;
  router.used += used;
  router.manager->Settle(TimeOf(router), kBudget, amount, {used, 0});
}

void MeteredSimulation::Drain(size_t index) {
  routers_[index]->manager->Drain();
}

bool MeteredSimulation::IsDrained(size_t index) const {
  return routers_[index]->manager->drained();
}

void MeteredSimulation::Submit(
    size_t index,
    const std::vector<MeteredBudgetManager::Command>& commands) {
  for (const auto& command : commands) {
    if (std::holds_alternative<PeerUnresponsive>(command) ||
        std::holds_alternative<BudgetMerged>(command)) {
      continue;
    }
    if (const auto* closed = std::get_if<GrantClosed>(&command)) {
      counted_ += closed->counted.Sum();
    } else if (const auto* message = std::get_if<SendToPeer>(&command)) {
      Send(index, *message);
    } else if (const auto* read = std::get_if<platform::KvRead>(&command)) {
      ++kv_operations_;
      kv_.Submit(now_, routers_[index]->incarnation, *read);
    } else {
      ++kv_operations_;
      kv_.Submit(now_, routers_[index]->incarnation,
                 std::get<platform::KvWrite>(command));
    }
  }
}

void MeteredSimulation::Process() {
  for (const auto& router : routers_) {
    router->manager->SetClockOffset(router->wall_error - router->skew);
  }
  NotifyPeers();
  Deliver();
  for (support::FakeKv::Answer& answer : kv_.Advance(now_)) {
    if (hides_eras_) {
      std::visit([](auto& done) { done.version.era = 0; }, answer.done);
      if (auto* write = std::get_if<platform::KvWriteDone>(&answer.done)) {
        write->current.version.era = 0;
      }
    }
    for (size_t i = 0; i < routers_.size(); ++i) {
      if (routers_[i]->incarnation == answer.client &&
          CheckEra(i, answer.era)) {
        std::visit(
            [&](const auto& done) {
              Submit(i, routers_[i]->manager->On(TimeOf(*routers_[i]), done));
            },
            answer.done);
      }
    }
  }
  for (size_t i = 0; i < routers_.size(); ++i) {
    Router& router = *routers_[i];
    if (IsOff(router)) {
      continue;
    }
    EndTimedRequests(router);
    PollDirectory(i);
    const platform::KvVersion config = ConfigVersion();
    const bool knows_era = hides_eras_ || config.era == router.eras.current();
    if (!router.partitioned && knows_era && router.known_config != config) {
      router.known_config = config;
      router.known_limit = limit_;
      router.manager->SetLimits(
          {{kBudget, base::OrganisationId("lantern-line"), limit_}},
          {kConfigKey, config});
    }
    FinishDue(router);
    Submit(i, router.manager->Tick(TimeOf(router)));
    TryReserve(router);
  }
}

void MeteredSimulation::Advance(base::Millis span) {
  const base::Millis end = now_ + span;
  while (now_ < end) {
    now_ = now_ + kStep;
    Process();
  }
}

std::optional<Budget> MeteredSimulation::StoredBudget() const {
  const auto stored = kv_.stored().find(ShardKey(ShardOf(kBudget, keys_)));
  const auto record = stored == kv_.stored().end()
                          ? std::nullopt
                          : LedgerCodec().Decode(stored->second.value);
  if (!record || record->budgets.count(kBudget) == 0) {
    return std::nullopt;
  }
  return record->budgets.at(kBudget);
}

base::Tokens MeteredSimulation::Held(size_t index) const {
  const Router& router = *routers_[index];
  const base::Incarnation holder(router.name + "." +
                                 std::to_string(router.incarnation));
  const auto budget = StoredBudget();
  if (!budget) {
    return 0;
  }
  base::Tokens held = 0;
  for (const auto& [id, grant] : budget->grants) {
    held += grant.holder == holder ? grant.amount - grant.billed() : 0;
  }
  return held;
}

size_t MeteredSimulation::StoredGrants() const {
  const auto budget = StoredBudget();
  return budget ? budget->grants.size() : 0;
}

bool MeteredSimulation::IsScarceAnywhere() const {
  return std::any_of(routers_.begin(), routers_.end(), [](const auto& router) {
    const auto reports = router->manager->Reports();
    return std::any_of(
        reports.begin(), reports.end(),
        [](const BudgetReport& report) { return report.is_scarce; });
  });
}

BudgetReport::Refusals MeteredSimulation::refusals() const {
  BudgetReport::Refusals sum;
  for (const auto& router : routers_) {
    for (const BudgetReport& report : router->manager->Reports()) {
      sum.exhausted += report.refusals.exhausted;
      sum.nothing_free += report.refusals.nothing_free;
      sum.timed_out += report.refusals.timed_out;
      sum.kv_unavailable += report.refusals.kv_unavailable;
    }
  }
  return sum;
}

base::Tokens MeteredSimulation::Used() const {
  base::Tokens used = used_by_terminated_;
  for (const auto& router : routers_) {
    used += router->used;
    for (const Router::Running& running : router->running) {
      used += running.UsedBy(now_);
    }
    for (const Router::Timed& timed : router->timed) {
      used += timed.request.amount;
    }
  }
  return used;
}

}  // namespace godwit::ledger
