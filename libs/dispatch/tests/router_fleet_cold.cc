// Cold servers of the simulated fleet.
#include <algorithm>
#include <cstdint>
#include <queue>
#include <utility>

#include "router_fleet_state.h"

namespace godwit::dispatch {
namespace {

constexpr base::Millis kHop(1);
constexpr base::Millis kHeartbeatInterval(1200);
// A registration is read up to this long after it was written.
constexpr uint64_t kLongestReadDelayMs = 2000;
// Interval at which a router that doesn't reach the store tries again.
constexpr base::Millis kReadRetryInterval(500);
constexpr base::Millis kColdWindow(1000);
// A cold server takes longer by this factor.
constexpr int64_t kColdSlowness = 4;

}  // namespace

void RouterFleet::ListBackends(size_t router) {
  const bool needs_store =
      options_.cold_rate > 0 || options_.misses_registrations;
  if (needs_store && !IsConnected(router)) {
    AtRouter(router, now_ + kReadRetryInterval,
             [this, router] { ListBackends(router); });
    return;
  }
  BackendsListed listed;
  for (size_t i = 0; i < servers_.size(); ++i) {
    if (!servers_[i].is_down) {
      listed.backends.push_back(RegistrationOf(i));
    }
  }
  routers_[router]->first_listed_at = now_;
  Raise(router, listed);
}

void RouterFleet::DeliverRegistration(size_t router,
                                      size_t server,
                                      int64_t generation) {
  if (servers_[server].generation != generation) {
    return;
  }
  const base::Millis delay(
      static_cast<int64_t>(random_() % kLongestReadDelayMs));
  AtRouter(
      router, now_ + delay,
      [this, router, server, generation, backend = RegistrationOf(server)] {
        if (!IsConnected(router)) {
          AtRouter(router, now_ + kReadRetryInterval,
                   [this, router, server, generation] {
                     DeliverRegistration(router, server, generation);
                   });
          return;
        }
        if (servers_[server].generation == generation) {
          Raise(router, BackendRegistered{backend});
        }
      });
}

void RouterFleet::WriteHeartbeat(size_t server, int64_t generation) {
  Server& writer = servers_[server];
  if (writer.generation != generation) {
    return;
  }
  const bool was_cold = writer.registration.cold_remaining > base::Millis();
  if (now_ >= writer.states_cold_from) {
    writer.registration.cold_remaining =
        std::max(base::Millis(), writer.cold_until - now_);
  }
  for (size_t i = 0; i < routers_.size(); ++i) {
    DeliverRegistration(i, server, generation);
  }
  if (IsCold(server) || was_cold) {
    At(now_ + kHeartbeatInterval,
       [this, server, generation] { WriteHeartbeat(server, generation); });
  }
}

void RouterFleet::StartCold(size_t server,
                            base::Millis span,
                            ColdStatement statement) {
  Server& started = servers_[server];
  if (started.is_down) {
    return;
  }
  started.registration.cold_remaining.reset();
  const int64_t generation = ++started.generation;
  started.is_down = true;
  const std::string ended = started.registration.instance;
  for (size_t i = 0; i < routers_.size(); ++i) {
    const base::Millis delay(
        static_cast<int64_t>(random_() % kLongestReadDelayMs));
    AtRouter(i, now_ + delay,
             [this, i, ended] { Raise(i, BackendRemoved{ended}); });
  }
  started.registration.instance =
      "s" + std::to_string(server) + "-" + std::to_string(generation);
  started.started_at = now_ + span;
  started.cold_until = started.started_at + options_.cold_start;
  started.states_cold_from = started.started_at;
  if (statement == ColdStatement::kLate) {
    started.states_cold_from = started.started_at + kHeartbeatInterval;
  } else if (statement == ColdStatement::kNever) {
    started.states_cold_from = started.cold_until;
  }
  At(started.started_at, [this, server, generation] {
    servers_[server].is_down = false;
    WriteHeartbeat(server, generation);
  });
}

void RouterFleet::BecomeCold(size_t server) {
  Server& cold = servers_[server];
  cold.cold_until = now_ + options_.cold_start;
  WriteHeartbeat(server, cold.generation);
}

void RouterFleet::SetEvacuations(
    const std::set<base::DataCentreId>& data_centres) {
  for (Server& server : servers_) {
    const base::DataCentreId& own = server.registration.data_centre;
    if (evacuations_.count(own) > 0 && data_centres.count(own) == 0) {
      server.started_at = now_;
      server.cold_until = now_ + options_.cold_start;
      server.states_cold_from = server.cold_until;
    }
  }
  evacuations_ = data_centres;
  for (size_t i = 0; i < routers_.size(); ++i) {
    const base::Millis delay(
        static_cast<int64_t>(random_() % kLongestReadDelayMs));
    AtRouter(i, now_ + delay, [this, i] { ReadEvacuations(i); });
  }
}

void RouterFleet::ReadEvacuations(size_t router) {
  if (!IsConnected(router)) {
    AtRouter(router, now_ + kReadRetryInterval,
             [this, router] { ReadEvacuations(router); });
    return;
  }
  routers_[router]->evacuations = evacuations_;
  if (!options_.hides_evacuations) {
    Raise(router, EvacuationsChanged{evacuations_});
  }
}

bool RouterFleet::IsCold(size_t server) const {
  return !servers_[server].is_down && now_ < servers_[server].cold_until;
}

base::Millis RouterFleet::RunTime(size_t server) const {
  return options_.run_time * (IsCold(server) ? kColdSlowness : 1);
}

void RouterFleet::NoteColdArrival(size_t server, Arrival& arrival) const {
  const Server& receiver = servers_[server];
  const Router& sender = *routers_[arrival.router];
  const bool is_excused = sender.first_listed_at >= receiver.started_at &&
                          sender.first_listed_at < receiver.states_cold_from;
  arrival.is_cold = IsCold(server) && !is_excused;
  arrival.generation = receiver.generation;
}

bool RouterFleet::TurnsDownAsEnded(size_t router,
                                   size_t server,
                                   const StartAttempt& command) {
  const Server& receiver = servers_[server];
  if (options_.cold_rate == 0 ||
      (!receiver.is_down &&
       receiver.registration.instance == command.backend.instance)) {
    return false;
  }
  AtRouter(router, now_ + kHop,
           [this, router, command, is_down = receiver.is_down] {
             if (is_down) {
               Raise(router, AttemptFailed{command.call, command.attempt,
                                           AttemptFailure::kNotSent});
               return;
             }
             AttemptAnswered answered;
             answered.call = command.call;
             answered.attempt = command.attempt;
             answered.reply.status = 421;
             answered.reply.instance_mismatch = true;
             answered.complete = true;
             Raise(router, answered);
           });
  return true;
}

int64_t RouterFleet::MostPerSecondWhileCold(size_t server,
                                            base::Millis from) const {
  std::queue<Arrival> window;
  size_t most = 0;
  for (const Arrival& arrival : servers_[server].arrivals) {
    if (!arrival.is_cold || arrival.at < from) {
      continue;
    }
    while (!window.empty() &&
           (arrival.at - window.front().at >= kColdWindow ||
            arrival.generation != window.front().generation)) {
      window.pop();
    }
    window.push(arrival);
    most = std::max(most, window.size());
  }
  return static_cast<int64_t>(most);
}

}  // namespace godwit::dispatch
