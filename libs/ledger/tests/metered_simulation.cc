#include "metered_simulation.h"

#include <algorithm>
#include <deque>
#include <optional>
#include <utility>
#include <variant>

#include "ledger/ledger_codec.h"
#include "ledger/ledger_record.h"
#include "ledger/shard.h"

namespace godwit::ledger {
namespace {

constexpr char kConfigKey[] = "configuration";
constexpr base::Millis kStep(5);
constexpr base::Millis kLeap(60'000);
constexpr uint64_t kMaxSkew = 20'000;
constexpr uint64_t kMaxDelay = 12;
constexpr uint64_t kPercent = 100;
const base::BudgetId kBudget("kiosks");

}  // namespace

struct MeteredSimulation::Router {
  struct Waiting {
    base::Tokens amount;
    base::Millis since;
  };

  std::string name;
  int incarnation = 0;
  std::unique_ptr<MeteredBudgetManager> manager;
  std::deque<Waiting> waiting;
  std::deque<base::Tokens> running;
  base::Tokens used = 0;
  bool partitioned = false;
  bool isolated = false;
  bool knows_peers = false;
  // Offset of its VM's monotonic clock, and error of its wall clock.
  base::Millis skew;
  base::Millis wall_error;
  // Injected fault.
  base::Millis leap;
  base::Millis off_until;
  int64_t known_config = 0;
  base::Tokens known_limit = 0;
};

MeteredSimulation::MeteredSimulation(uint64_t seed,
                                     size_t routers,
                                     base::Tokens limit,
                                     base::Millis outage_cover)
    : kv_(seed),
      random_(seed),
      outage_cover_(outage_cover),
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
  for (const base::Tokens amount : router.running) {
    used_by_terminated_ += amount;
  }
  router.running.clear();
  router.waiting.clear();
  router.used = 0;
  router.known_config = 0;
  router.knows_peers = false;
  router.incarnation = static_cast<int>(++incarnations_);
  router.leap = base::Millis();
  MeteredPolicy policy;
  policy.outage_cover = outage_cover_;
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

// A peer's port is its index in the simulation plus one.
void MeteredSimulation::NotifyPeers() {
  if (!connected_) {
    return;
  }
  std::vector<Peer> peers;
  for (size_t i = 0; i < routers_.size(); ++i) {
    const Router& router = *routers_[i];
    peers.push_back({base::ProcessId(router.name),
                     base::Incarnation(router.name + "." +
                                       std::to_string(router.incarnation)),
                     base::Endpoint{"127.0.0.1", static_cast<uint16_t>(i + 1)},
                     1000});
  }
  for (const auto& router : routers_) {
    // Routers that already know the fleet learn of new incarnations by their
    // messages.
    if (!router->knows_peers && !IsOff(*router)) {
      router->knows_peers = true;
      router->manager->SetPeers(TimeOf(*router), peers);
    }
  }
}

void MeteredSimulation::Send(size_t index, const SendToPeer& message) {
  if (const auto* reply = std::get_if<LoanReply>(&message.message)) {
    lent_[{reply->lender, reply->borrower}] = reply->lent;
  }
  if (routers_[index]->isolated) {
    return;
  }
  const auto due = [this] {
    return now_ + base::Millis(static_cast<int64_t>(1 + random_() % kMaxDelay));
  };
  const auto from = static_cast<uint16_t>(index + 1);
  const auto percent = static_cast<uint64_t>(lost_percent_);
  if (random_() % kPercent >= percent) {
    datagrams_.push_back({due(), from, message});
  }
  if (random_() % kPercent < percent) {
    datagrams_.push_back({due(), from, message});
  }
}

void MeteredSimulation::Deliver() {
  std::vector<Datagram> due;
  for (size_t i = 0; i < datagrams_.size();) {
    if (datagrams_[i].due <= now_) {
      due.push_back(datagrams_[i]);
      datagrams_.erase(datagrams_.begin() + static_cast<int64_t>(i));
    } else {
      ++i;
    }
  }
  for (Datagram& datagram : due) {
    const size_t index = datagram.sent.to.port - size_t{1};
    Router& router = *routers_[index];
    auto* const request = std::get_if<LoanRequest>(&datagram.sent.message);
    if (request != nullptr && forgets_loans_) {
      request->returned =
          lent_[{request->lender, request->borrower}] - request->used;
    }
    if (!router.isolated && !IsOff(router)) {
      Submit(index,
             router.manager->On(TimeOf(router), {"127.0.0.1", datagram.from},
                                datagram.sent.message));
    }
  }
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
  ++config_version_;
  kv_.Put(kConfigKey, std::to_string(config_version_));
}

void MeteredSimulation::Request(size_t index, base::Tokens amount) {
  Router& router = *routers_[index];
  if (IsOff(router)) {
    return;
  }
  router.waiting.push_back({amount, now_});
  TryReserve(router);
}

void MeteredSimulation::TryReserve(Router& router) {
  std::deque<Router::Waiting> still_waiting;
  for (const Router::Waiting& waiting : router.waiting) {
    switch (
        router.manager->Reserve(TimeOf(router), kBudget, waiting.amount,
                                waiting.since + router.skew + router.leap)) {
      case MeteredBudgetManager::ReserveResult::kReserved:
        router.running.push_back(waiting.amount);
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
  const base::Tokens amount = router.running.front();
  router.running.pop_front();
  const base::Tokens used = amount * used_percent / 100;
  router.used += used;
  router.manager->Settle(TimeOf(router), kBudget, amount, {used, 0});
}

void MeteredSimulation::Drain(size_t index) {
  routers_[index]->manager->Drain();
}

void MeteredSimulation::Submit(
    size_t index,
    const std::vector<MeteredBudgetManager::Command>& commands) {
  for (const auto& command : commands) {
    if (std::holds_alternative<GrantClosed>(command) ||
        std::holds_alternative<PeerUnresponsive>(command)) {
      continue;
    }
    if (const auto* message = std::get_if<SendToPeer>(&command)) {
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
  for (const auto& answer : kv_.Advance(now_)) {
    for (size_t i = 0; i < routers_.size(); ++i) {
      if (routers_[i]->incarnation == answer.client) {
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
    if (!router.partitioned && router.known_config != config_version_) {
      router.known_config = config_version_;
      router.known_limit = limit_;
      router.manager->SetLimits(
          {{kBudget, base::OrganisationId("lantern-line"), limit_}},
          {kConfigKey, config_version_});
    }
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

base::Tokens MeteredSimulation::Held(size_t index) const {
  const Router& router = *routers_[index];
  const base::Incarnation holder(router.name + "." +
                                 std::to_string(router.incarnation));
  const auto stored = kv_.stored().find(ShardKey(ShardOf(kBudget, keys_)));
  const auto record = stored == kv_.stored().end()
                          ? std::nullopt
                          : LedgerCodec().Decode(stored->second.value);
  if (!record) {
    return 0;
  }
  const auto budget = record->budgets.find(kBudget);
  if (budget == record->budgets.end()) {
    return 0;
  }
  base::Tokens held = 0;
  for (const auto& [id, grant] : budget->second.grants) {
    held += grant.holder == holder ? grant.amount - grant.billed() : 0;
  }
  return held;
}

base::Tokens MeteredSimulation::Used() const {
  base::Tokens used = used_by_terminated_;
  for (const auto& router : routers_) {
    used += router->used;
    for (const base::Tokens amount : router->running) {
      used += amount;
    }
  }
  return used;
}

}  // namespace godwit::ledger
