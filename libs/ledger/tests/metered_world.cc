#include "metered_world.h"

#include <algorithm>
#include <deque>
#include <utility>
#include <variant>

namespace godwit::ledger {
namespace {

constexpr char kConfigKey[] = "configuration";
constexpr base::Millis kStep(5);
constexpr uint64_t kMostSkew = 20'000;
constexpr uint64_t kMostDelay = 12;
constexpr uint64_t kPercent = 100;
const base::BudgetId kBudget("kiosks");

}  // namespace

struct MeteredWorld::Router {
  struct Waiting {
    base::Tokens amount;
    base::Millis since;
  };

  std::string name;
  int life = 0;
  std::unique_ptr<MeteredHolder> holder;
  std::deque<Waiting> waiting;
  std::deque<base::Tokens> running;
  base::Tokens used = 0;
  bool cut = false;
  bool isolated = false;
  bool knows_peers = false;
  // Of its VM's monotonic clock.
  base::Millis skew;
  int64_t seen_config = 0;
  base::Tokens seen_limit = 0;
};

MeteredWorld::MeteredWorld(uint64_t seed, size_t routers, base::Tokens limit)
    : kv_(seed), random_(seed), limit_(limit), highest_limit_(limit) {
  kv_.Put(kConfigKey, "1");
  for (size_t i = 0; i < routers; ++i) {
    routers_.push_back(std::make_unique<Router>());
    routers_[i]->name = "router-" + std::to_string(i);
    Kill(i);
  }
}

MeteredWorld::~MeteredWorld() = default;

void MeteredWorld::Kill(size_t index, bool with_its_vm) {
  Router& router = *routers_[index];
  if (with_its_vm) {
    router.skew = base::Millis(static_cast<int64_t>(random_() % kMostSkew));
  }
  used_by_dead_ += router.used;
  for (const base::Tokens amount : router.running) {
    used_by_dead_ += amount;
  }
  router.running.clear();
  router.waiting.clear();
  router.used = 0;
  router.seen_config = 0;
  router.knows_peers = false;
  router.life = static_cast<int>(++lives_);
  MeteredPolicy policy;
  policy.cover = base::Millis(2000);
  policy.shard_count = keys_;
  if (breaks_promises_ && router.life % 2 == 0) {
    policy.promise_time = base::Millis(0);
    policy.promise_percent = 0;
  }
  router.holder = std::make_unique<MeteredHolder>(
      base::ProcessId(router.name),
      base::Incarnation(router.name + "." + std::to_string(router.life)),
      policy);
  router.holder->SetRouters(routers_.size());
  if (router.cut) {
    kv_.faults().cut_clients.insert(router.life);
  }
  TellPeers();
}

void MeteredWorld::Connect(int lost_percent) {
  connected_ = true;
  lost_percent_ = lost_percent;
  TellPeers();
}

void MeteredWorld::Isolate(size_t index, bool isolated) {
  routers_[index]->isolated = isolated;
}

// A peer's port is its index in the world plus one.
void MeteredWorld::TellPeers() {
  if (!connected_) {
    return;
  }
  std::vector<Peer> peers;
  for (size_t i = 0; i < routers_.size(); ++i) {
    const Router& router = *routers_[i];
    peers.push_back(
        {base::ProcessId(router.name),
         base::Incarnation(router.name + "." + std::to_string(router.life)),
         base::Endpoint{"127.0.0.1", static_cast<uint16_t>(i + 1)}});
  }
  for (const auto& router : routers_) {
    // A router that knows the fleet learns of new lives by their messages.
    if (!router->knows_peers) {
      router->knows_peers = true;
      router->holder->SetPeers(now_ + router->skew, peers);
    }
  }
}

void MeteredWorld::Send(size_t index, const SendToPeer& message) {
  if (const auto* reply = std::get_if<LoanReply>(&message.message)) {
    lent_[{reply->lender, reply->borrower}] = reply->lent;
  }
  if (routers_[index]->isolated) {
    return;
  }
  const auto due = [this] {
    return now_ +
           base::Millis(static_cast<int64_t>(1 + random_() % kMostDelay));
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

void MeteredWorld::Deliver() {
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
    auto* const ask = std::get_if<LoanAsk>(&datagram.sent.message);
    if (ask != nullptr && forgets_loans_) {
      ask->returned = lent_[{ask->lender, ask->borrower}] - ask->used;
    }
    if (!router.isolated) {
      Submit(index,
             router.holder->On(now_ + router.skew, {"127.0.0.1", datagram.from},
                               datagram.sent.message));
    }
  }
}

void MeteredWorld::Cut(size_t index, bool cut) {
  Router& router = *routers_[index];
  router.cut = cut;
  auto& clients = kv_.faults().cut_clients;
  if (cut) {
    clients.insert(router.life);
  } else {
    clients.erase(router.life);
  }
}

void MeteredWorld::SetLimit(base::Tokens limit) {
  limit_ = limit;
  highest_limit_ = std::max(highest_limit_, limit);
  ++config_version_;
  kv_.Put(kConfigKey, std::to_string(config_version_));
}

void MeteredWorld::Request(size_t index, base::Tokens amount) {
  Router& router = *routers_[index];
  router.waiting.push_back({amount, now_});
  Try(router);
}

void MeteredWorld::Try(Router& router) {
  std::deque<Router::Waiting> still;
  for (const Router::Waiting& waiting : router.waiting) {
    switch (router.holder->Reserve(now_ + router.skew, kBudget, waiting.amount,
                                   waiting.since + router.skew)) {
      case MeteredHolder::Verdict::kReserved:
        router.running.push_back(waiting.amount);
        ++served_;
        break;
      case MeteredHolder::Verdict::kWait:
        still.push_back(waiting);
        break;
      case MeteredHolder::Verdict::kExhausted:
        ++exhausted_;
        if (Used() + waiting.amount <= router.seen_limit) {
          ++falsely_exhausted_;
        }
        break;
      case MeteredHolder::Verdict::kUnavailable:
        ++refused_;
        break;
    }
  }
  router.waiting = std::move(still);
}

void MeteredWorld::Finish(size_t index, int used_percent) {
  Router& router = *routers_[index];
  if (router.running.empty()) {
    return;
  }
  const base::Tokens amount = router.running.front();
  router.running.pop_front();
  const base::Tokens used = amount * used_percent / 100;
  router.used += used;
  router.holder->Settle(now_ + router.skew, kBudget, amount, {used, 0});
}

void MeteredWorld::Drain(size_t index) {
  routers_[index]->holder->Drain();
}

void MeteredWorld::Submit(size_t index,
                          const std::vector<MeteredHolder::Command>& commands) {
  for (const auto& command : commands) {
    if (std::holds_alternative<GrantClosed>(command) ||
        std::holds_alternative<PeerSilent>(command)) {
      continue;
    }
    if (const auto* message = std::get_if<SendToPeer>(&command)) {
      Send(index, *message);
    } else if (const auto* read = std::get_if<platform::KvRead>(&command)) {
      ++kv_operations_;
      kv_.Submit(now_, routers_[index]->life, *read);
    } else {
      ++kv_operations_;
      kv_.Submit(now_, routers_[index]->life,
                 std::get<platform::KvWrite>(command));
    }
  }
}

void MeteredWorld::Pump() {
  Deliver();
  for (const auto& answer : kv_.Advance(now_)) {
    for (size_t i = 0; i < routers_.size(); ++i) {
      if (routers_[i]->life == answer.client) {
        std::visit(
            [&](const auto& done) {
              Submit(i,
                     routers_[i]->holder->On(now_ + routers_[i]->skew, done));
            },
            answer.done);
      }
    }
  }
  for (size_t i = 0; i < routers_.size(); ++i) {
    Router& router = *routers_[i];
    if (!router.cut && router.seen_config != config_version_) {
      router.seen_config = config_version_;
      router.seen_limit = limit_;
      router.holder->SetLimits(
          {{kBudget, base::OrganisationId("lantern-line"), limit_}},
          {kConfigKey, config_version_});
    }
    router.holder->SetClockOffset(base::Millis(0) - router.skew);
    Submit(i, router.holder->Tick(now_ + router.skew));
    Try(router);
  }
}

void MeteredWorld::Advance(base::Millis span) {
  const base::Millis end = now_ + span;
  while (now_ < end) {
    now_ = now_ + kStep;
    Pump();
  }
}

base::Tokens MeteredWorld::Used() const {
  base::Tokens used = used_by_dead_;
  for (const auto& router : routers_) {
    used += router->used;
    for (const base::Tokens amount : router->running) {
      used += amount;
    }
  }
  return used;
}

}  // namespace godwit::ledger
