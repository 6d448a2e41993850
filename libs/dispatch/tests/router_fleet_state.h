#ifndef DISPATCH_TESTS_ROUTER_FLEET_STATE_H_
#define DISPATCH_TESTS_ROUTER_FLEET_STATE_H_

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "base/millis.h"
#include "dispatch/backend.h"
#include "dispatch/dispatcher.h"
#include "router_fleet.h"

namespace godwit::dispatch {

struct RouterFleet::Router {
  std::unique_ptr<Dispatcher> dispatcher;
  int64_t incarnation = 0;
  bool is_running = false;
  base::Millis frozen_until;
  // The end of its latest pause, that of now included.
  base::Millis was_paused_until;
  base::Millis cut_until;
  base::Millis excused_until;
  // When it read the servers for the first time.
  base::Millis first_listed_at;
  // As it last read them.
  std::set<base::DataCentreId> evacuations;
  // When it first passed on an answer with a limit, by server.
  std::map<size_t, base::Millis> told_at;
  // The same of an answer that states that the server leaves.
  std::map<size_t, base::Millis> leaving_told_at;
  // When a server first asked to be sent nothing, by server.
  std::map<size_t, base::Millis> turned_away_at;
};

struct RouterFleet::Server {
  Backend registration;
  std::optional<double> limit;
  std::vector<Arrival> arrivals;
  int64_t running = 0;
  // Increases with each crash.
  int64_t generation = 0;
  bool is_down = false;
  bool is_leaving = false;
  base::Millis turns_away_until;
  base::Millis cold_until;
  base::Millis started_at;
  // When it first states how long it is cold.
  base::Millis states_cold_from;
};

struct RouterFleet::Scheduled {
  base::Millis at;
  uint64_t order = 0;
  std::function<void()> action;

  friend bool operator>(const Scheduled& a, const Scheduled& b) {
    return a.at != b.at ? a.at > b.at : a.order > b.order;
  }
};

// A stream as its caller sees it, over all of its requests.
struct RouterFleet::Stream {
  // Id of the request that brought the first event.
  std::string began_as;
  // Id of the request in progress.
  std::string request_id;
  int64_t last_event = 0;
  std::set<std::string> versions;
  int64_t requests = 0;
  // The request in progress has brought an event.
  bool goes_on = false;
  std::optional<Prompt> prompt;
  base::Digest content;
  // Crashes each server that begins an answer to it.
  bool is_crashing = false;
  // Its connections may be reset by servers that live on.
  bool is_reset = false;
  // Arrival of the request in progress, until its first attempt.
  std::optional<base::Millis> asked_at;
};

// A run of a stream at a server.
struct RouterFleet::StreamRun {
  CallId call = 0;
  size_t server = 0;
  int64_t generation = 0;
  int64_t next_event = 1;
  bool is_answered = false;
  bool is_crashing = false;
  bool is_reset = false;
};

}  // namespace godwit::dispatch

#endif  // DISPATCH_TESTS_ROUTER_FLEET_STATE_H_
