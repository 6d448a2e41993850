// What is injected into the simulated fleet, and what its servers received.
#include <algorithm>
#include <queue>

#include "router_fleet_state.h"

namespace godwit::dispatch {
namespace {

constexpr base::Millis kLimitWindow(4000);
// Time until a router notices that the store does not answer, and from the end
// of that until it has read the servers again.
constexpr base::Millis kNoticeTime(1500);
constexpr base::Millis kRejoinTime(1000);

}  // namespace

void RouterFleet::SetLimit(size_t server, std::optional<double> limit) {
  servers_[server].limit = limit;
}

void RouterFleet::TurnAway(size_t server, base::Millis span) {
  servers_[server].turns_away_until = now_ + span;
  for (const auto& router : routers_) {
    router->turned_away_at.erase(server);
  }
}

int64_t RouterFleet::MostWhileTurnedAway(size_t server,
                                         base::Millis delay) const {
  std::map<size_t, int64_t> counts;
  int64_t most = 0;
  for (const Arrival& arrival : servers_[server].arrivals) {
    if (arrival.since_turned_away && *arrival.since_turned_away > delay) {
      most = std::max(most, ++counts[arrival.router]);
    }
  }
  return most;
}

void RouterFleet::Leave(size_t server) {
  servers_[server].is_leaving = true;
}

int64_t RouterFleet::ArrivalsAfterLeaving(size_t server,
                                          base::Millis delay) const {
  const auto& all = servers_[server].arrivals;
  return std::count_if(all.begin(), all.end(), [&](const Arrival& arrival) {
    return arrival.since_leaving && *arrival.since_leaving > delay;
  });
}

void RouterFleet::Restart(size_t router, base::Millis span) {
  routers_[router]->is_running = false;
  Excuse(router, now_ + span);
  BreakStreams(router);
  At(now_ + span, [this, router] {
    if (!routers_[router]->is_running) {
      StartRouter(router);
    }
  });
}

void RouterFleet::RestartAll(base::Millis span) {
  callers_return_at_ = now_ + span;
  for (size_t i = 0; i < routers_.size(); ++i) {
    Restart(i, span);
  }
}

void RouterFleet::Freeze(size_t router, base::Millis span) {
  // What was put off until the end of an earlier pause is delivered then.
  base::Millis& frozen_until = routers_[router]->frozen_until;
  frozen_until = std::max(frozen_until, now_ + span);
  routers_[router]->was_paused_until = frozen_until;
  Excuse(router, now_ + span);
}

void RouterFleet::Cut(size_t router, base::Millis span) {
  routers_[router]->cut_until = now_ + span;
  if (!options_.misses_registrations) {
    return;
  }
  AtRouter(router, now_ + kNoticeTime, [this, router] {
    if (!IsConnected(router)) {
      ConfigurationTracking tracking;
      tracking.is_followed = false;
      tracking.store_answers = false;
      tracking.registry_is_followed = false;
      Raise(router, tracking);
    }
  });
  AtRouter(router, now_ + span + kRejoinTime,
           [this, router] { RejoinRegistry(router); });
}

void RouterFleet::StopStore(base::Millis span) {
  store_down_until_ = now_ + span;
}

const std::vector<RouterFleet::Arrival>& RouterFleet::arrivals(
    size_t server) const {
  return servers_[server].arrivals;
}

int64_t RouterFleet::MostInWindow(size_t server,
                                  base::Millis from,
                                  base::Millis until) const {
  std::queue<base::Millis> window;
  size_t most = 0;
  for (const Arrival& arrival : servers_[server].arrivals) {
    if (!arrival.is_counted || arrival.at < from || arrival.at >= until) {
      continue;
    }
    while (!window.empty() && arrival.at - window.front() >= kLimitWindow) {
      window.pop();
    }
    window.push(arrival.at);
    most = std::max(most, window.size());
  }
  return static_cast<int64_t>(most);
}

int64_t RouterFleet::ArrivalsBetween(size_t server,
                                     base::Millis from,
                                     base::Millis until) const {
  const auto& all = servers_[server].arrivals;
  return std::count_if(all.begin(), all.end(), [&](const Arrival& arrival) {
    return arrival.at >= from && arrival.at < until;
  });
}

}  // namespace godwit::dispatch
