#include "router_fleet.h"

#include <algorithm>
#include <utility>
#include <variant>

#include "dispatch/routing_table.h"
#include "router_fleet_state.h"

namespace godwit::dispatch {
namespace {

constexpr base::Millis kStart(1000);
constexpr base::Millis kTickPeriod(25);
constexpr base::Millis kHop(1);
constexpr base::Millis kListPeriod(2000);
constexpr int64_t kLongestListDelayMs = 1000;
constexpr base::Millis kLeaseTtl(20'000);
constexpr base::Millis kLeaseRenewPeriod(5000);
constexpr base::Millis kExcuseAfterFault(3000);
constexpr base::Millis kToldDelay(500);
constexpr double kMillisPerSecond = 1000;
constexpr int64_t kUnlimitedSlots = 1000;

base::Endpoint AddressOf(size_t router) {
  return {"10.0.1.1", static_cast<uint16_t>(router + 1)};
}

}  // namespace

RouterFleet::RouterFleet(const Options& options)
    : options_(options),
      random_(options.seed),
      list_random_(options.seed),
      now_(kStart),
      next_arrival_ms_(static_cast<double>(kStart.count())) {
  for (size_t i = 0; i < options.servers; ++i) {
    Server server;
    server.registration.instance = "s" + std::to_string(i);
    server.registration.started_at_ms = 1;
    server.registration.service = base::ServiceId("plain");
    server.registration.address = {"10.0.0.1", static_cast<uint16_t>(i + 1)};
    server.registration.data_centre =
        base::DataCentreId("dc" + std::to_string(i % options.data_centres));
    server.registration.software_version =
        "v" + std::to_string(i % options.versions);
    server.registration.slots = options.slots.value_or(kUnlimitedSlots);
    servers_.push_back(std::move(server));
  }
  for (size_t i = 0; i < options.routers; ++i) {
    routers_.push_back(std::make_unique<Router>());
    leases_[i] = now_ + kLeaseTtl;
  }
  for (size_t i = 0; i < options.routers; ++i) {
    StartRouter(i);
  }
  ArriveNext();
}

RouterFleet::~RouterFleet() = default;

void RouterFleet::At(base::Millis at, std::function<void()> action) {
  scheduled_.push({at, next_action_++, std::move(action)});
}

void RouterFleet::AtRouter(size_t router,
                           base::Millis at,
                           std::function<void()> action) {
  At(at, [this, router, incarnation = routers_[router]->incarnation,
          action = std::move(action)]() mutable {
    const Router& target = *routers_[router];
    if (!target.is_running || target.incarnation != incarnation) {
      return;
    }
    if (now_ < target.frozen_until) {
      AtRouter(router, target.frozen_until, std::move(action));
      return;
    }
    action();
  });
}

void RouterFleet::StartRouter(size_t index) {
  Router& router = *routers_[index];
  ++router.incarnation;
  router.is_running = true;
  router.told_at.clear();
  router.leaving_told_at.clear();
  router.turned_away_at.clear();
  const std::string name = "router-" + std::to_string(index);
  DispatcherOptions made;
  made.process = base::ProcessId(name);
  made.incarnation =
      base::Incarnation(name + "." + std::to_string(router.incarnation));
  router.dispatcher = std::make_unique<Dispatcher>(std::move(made));
  Route route = options_.events > 0 ? StreamRoute() : Route();
  route.name = "status";
  route.host = "h";
  route.prefix = "/";
  route.timeout = options_.timeout;
  route.max_attempts = 2;
  route.targets = {{base::ServiceId("plain"), 1}};
  if (options_.events == 0) {
    route.repeat = RepeatRule::kIdempotent;
  }
  RoutingTable::Contents contents;
  contents.version = 1;
  contents.revision = platform::KvVersion(1);
  contents.routes = {route};
  if (options_.cold_rate > 0 && !options_.hides_cold) {
    ServiceProfile service;
    service.id = base::ServiceId("plain");
    service.cold_start = options_.cold_start;
    service.cold_rate = options_.cold_rate;
    contents.services = {service};
  }
  Raise(index, RoutingTableUpdated{
                   std::make_shared<const RoutingTable>(std::move(contents))});
  router.evacuations.clear();
  if (!evacuations_.empty() && !options_.hides_evacuations) {
    // Read with the configuration.
    router.evacuations = evacuations_;
    Raise(index, EvacuationsChanged{evacuations_});
  }
  ListBackends(index);
  const auto phase = base::Millis(static_cast<int64_t>(random_() % 25));
  AtRouter(index, now_ + phase, [this, index] { TickRouter(index); });
  AtRouter(index, now_ + phase, [this, index] { ReadList(index); });
  AtRouter(index, now_ + phase, [this, index] { RenewLease(index); });
}

void RouterFleet::Raise(size_t router, const DispatchEvent& event) {
  for (const DispatchCommand& command :
       routers_[router]->dispatcher->Step(now_, event)) {
    std::visit([this, router](const auto& c) { Handle(router, c); }, command);
  }
}

void RouterFleet::TickRouter(size_t router) {
  Raise(router, Tick());
  AtRouter(router, now_ + kTickPeriod, [this, router] { TickRouter(router); });
}

bool RouterFleet::IsConnected(size_t router) const {
  return now_ >= store_down_until_ && now_ >= routers_[router]->cut_until;
}

std::vector<ledger::Peer> RouterFleet::RegisteredRouters() const {
  std::vector<ledger::Peer> peers;
  for (const auto& [index, expires_at] : leases_) {
    if (now_ < expires_at) {
      const std::string name = "router-" + std::to_string(index);
      ledger::Peer peer;
      peer.process = base::ProcessId(name);
      peer.incarnation = base::Incarnation(
          name + "." + std::to_string(routers_[index]->incarnation));
      peer.address = AddressOf(index);
      peers.push_back(std::move(peer));
    }
  }
  return peers;
}

void RouterFleet::ReadList(size_t router) {
  if (IsConnected(router)) {
    const auto delay =
        base::Millis(static_cast<int64_t>(random_() % kLongestListDelayMs));
    AtRouter(router, now_ + delay,
             [this, router, listed = RoutersListed{RegisteredRouters()}] {
               Raise(router, listed);
             });
  }
  AtRouter(router, now_ + kListPeriod, [this, router] { ReadList(router); });
}

void RouterFleet::RenewLease(size_t router) {
  if (IsConnected(router)) {
    leases_[router] = now_ + kLeaseTtl;
  }
  AtRouter(router, now_ + kLeaseRenewPeriod,
           [this, router] { RenewLease(router); });
}

void RouterFleet::ArriveNext() {
  std::exponential_distribution<double> gap(options_.requests_per_second);
  next_arrival_ms_ += gap(random_) * kMillisPerSecond;
  At(base::Millis(static_cast<int64_t>(next_arrival_ms_)), [this] {
    if (options_.events > 0) {
      auto stream = std::make_shared<Stream>();
      if (options_.has_prompts) {
        stream->prompt = AnyPrompt();
      }
      stream->content = AnyContent();
      RequestStream(std::move(stream));
      ArriveNext();
      return;
    }
    const size_t index = random_() % routers_.size();
    const Router& router = *routers_[index];
    if (router.is_running && now_ >= router.frozen_until) {
      CallArrived arrived;
      arrived.call = next_call_++;
      arrived.request.id = "call-" + std::to_string(arrived.call);
      arrived.request.host = "h";
      arrived.request.path = "/x";
      Raise(index, arrived);
    }
    ArriveNext();
  });
}

bool RouterFleet::IsExcused(size_t router) const {
  const Router& sender = *routers_[router];
  return now_ <
         std::max(sender.excused_until, sender.cut_until + kExcuseAfterFault);
}

void RouterFleet::Excuse(size_t router, base::Millis until) {
  routers_[router]->excused_until = until + kExcuseAfterFault;
}

void RouterFleet::Handle(size_t router, const StartAttempt& command) {
  size_t index = 0;
  while (servers_[index].registration.address != command.backend.address) {
    ++index;
  }
  sent_to_evacuated_ +=
      static_cast<int64_t>(routers_[router]->evacuations.count(
          servers_[index].registration.data_centre));
  if (options_.events > 0) {
    StartStream(router, index, command);
    return;
  }
  const int64_t jitter = options_.delivery_jitter.count();
  const base::Millis delay(
      jitter > 1
          ? static_cast<int64_t>(random_() % static_cast<uint64_t>(jitter))
          : 0);
  At(now_ + kHop + delay, [this, router, index,
                           incarnation = routers_[router]->incarnation,
                           command] {
    if (TurnsDownAsEnded(router, index, command)) {
      return;
    }
    const Router& sender = *routers_[router];
    const auto told = sender.told_at.find(index);
    const bool was_told = sender.incarnation == incarnation &&
                          told != sender.told_at.end() &&
                          now_ - told->second >= kToldDelay;
    const auto leaving = sender.leaving_told_at.find(index);
    std::optional<base::Millis> since_leaving;
    if (sender.incarnation == incarnation &&
        leaving != sender.leaving_told_at.end()) {
      since_leaving = now_ - leaving->second;
    }
    Server& server = servers_[index];
    const bool turns_away = now_ < server.turns_away_until;
    const auto turned_away = sender.turned_away_at.find(index);
    std::optional<base::Millis> since_turned_away;
    if (turns_away && sender.incarnation == incarnation &&
        turned_away != sender.turned_away_at.end()) {
      since_turned_away = now_ - turned_away->second;
    }
    server.arrivals.push_back({now_, router, since_turned_away, since_leaving,
                               was_told && !IsExcused(router)});
    NoteColdArrival(index, server.arrivals.back());
    const base::Millis run_time = RunTime(index);
    if (turns_away) {
      AtRouter(router, now_ + kHop,
               [this, router, index, command,
                span = server.turns_away_until - now_] {
                 AttemptAnswered answered;
                 answered.call = command.call;
                 answered.attempt = command.attempt;
                 answered.reply.status = 503;
                 answered.reply.not_run = true;
                 answered.reply.retry_after = span;
                 answered.complete = true;
                 routers_[router]->turned_away_at.try_emplace(index, now_);
                 Raise(router, answered);
               });
      return;
    }
    ++servers_[index].running;
    At(now_ + run_time, [this, index] { --servers_[index].running; });
    if (sender.incarnation != incarnation) {
      return;
    }
    AtRouter(router, now_ + run_time + kHop,
             [this, router, index, command, limit = servers_[index].limit] {
               AttemptAnswered answered;
               answered.call = command.call;
               answered.attempt = command.attempt;
               answered.reply.status = 200;
               answered.reply.is_signed = true;
               if (!options_.hides_limits) {
                 answered.reply.request_limit = limit;
               }
               if (options_.slots) {
                 answered.reply.load = LoadReport{
                     servers_[index].running, 0, *options_.slots, std::nullopt};
               }
               if (IsCold(index) && options_.states_cold_in_answers &&
                   !options_.hides_cold) {
                 answered.reply.cold_remaining =
                     servers_[index].cold_until - now_;
               }
               answered.complete = true;
               answered.reply.is_leaving = servers_[index].is_leaving;
               answered_by_ = index;
               answer_states_limit_ = limit.has_value();
               Raise(router, answered);
               answered_by_.reset();
             });
  });
}

void RouterFleet::Handle(size_t router, const RelayAnswer& /*command*/) {
  if (!answered_by_) {
    return;
  }
  if (answer_states_limit_) {
    routers_[router]->told_at.try_emplace(*answered_by_, now_);
  }
  if (servers_[*answered_by_].is_leaving) {
    routers_[router]->leaving_told_at.try_emplace(*answered_by_, now_);
  }
}

void RouterFleet::Handle(size_t router, const CallEnded& command) {
  const auto stream = streams_.find({router, command.call});
  if (command.outcome == "contained" && stream != streams_.end() &&
      !stream->second->is_crashing) {
    ++bystander_counts_.contained;
  }
  EndStream(router, command.call, command.outcome == "answered");
  if (command.outcome == "answered") {
    ++answered_;
    return;
  }
  ++refused_;
  longest_refusal_ = std::max(longest_refusal_, command.total);
}

void RouterFleet::Handle(size_t router, const SendToRouter& command) {
  ++datagrams_;
  const auto target = static_cast<size_t>(command.to.port) - 1;
  std::bernoulli_distribution is_lost(options_.datagram_loss);
  const bool is_list = std::holds_alternative<VersionsNotice>(command.message);
  if (is_lost(is_list ? list_random_ : random_) ||
      now_ < routers_[router]->cut_until ||
      now_ < routers_[target]->cut_until) {
    return;
  }
  AtRouter(target, now_ + kHop,
           [this, target, router, message = command.message] {
             Raise(target, RouterMessageReceived{AddressOf(router), message});
           });
}

void RouterFleet::Run(base::Millis span) {
  const base::Millis end = now_ + span;
  while (!scheduled_.empty() && scheduled_.top().at <= end) {
    const Scheduled next = scheduled_.top();
    scheduled_.pop();
    now_ = std::max(now_, next.at);
    next.action();
  }
  now_ = end;
}

}  // namespace godwit::dispatch
