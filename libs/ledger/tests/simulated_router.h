#ifndef LEDGER_TESTS_SIMULATED_ROUTER_H_
#define LEDGER_TESTS_SIMULATED_ROUTER_H_

#include <algorithm>
#include <cstdint>
#include <deque>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "base/ids.h"
#include "base/millis.h"
#include "ledger/metered_budget_manager.h"
#include "metered_simulation.h"
#include "platform/era_tracker.h"
#include "platform/kv_version.h"
#include "timed_request.h"

namespace godwit::ledger {

struct MeteredSimulation::Router {
  // What a request uses of its reservation, and how long it runs. Without a
  // duration, it runs until Finish() ends it.
  struct Course {
    int used_percent = 100;
    base::Millis duration;
    bool uses_at_start = false;
  };
  struct Waiting {
    base::Tokens amount;
    base::Millis since;
    int64_t urgency = 0;
    Course course;
    // Set for requests whose outcome is recorded.
    std::optional<TimedRequest> timed;
  };
  struct Timed {
    TimedRequest request;
    base::Millis ends_at;
  };
  struct Running {
    base::Tokens amount;
    base::Millis since;
    Course course;
    // Returns what is used by `now`. A request that Finish() ends may have used
    // its full reservation at any time.
    base::Tokens UsedBy(base::Millis now) const {
      if (course.duration == base::Millis()) {
        return amount;
      }
      const auto most = amount * course.used_percent / 100;
      return course.uses_at_start
                 ? most
                 : most * std::min(now - since, course.duration).count() /
                       course.duration.count();
    }
  };

  std::string name;
  int incarnation = 0;
  std::unique_ptr<MeteredBudgetManager> manager;
  std::deque<Waiting> waiting;
  std::deque<Running> running;
  std::vector<Timed> timed;
  base::Tokens used = 0;
  bool partitioned = false;
  bool isolated = false;
  bool muted = false;
  bool knows_peers = false;
  // Offset of its VM's monotonic clock, and error of its wall clock.
  base::Millis skew;
  base::Millis wall_error;
  // Injected fault.
  base::Millis leap;
  base::Millis off_until;
  platform::KvVersion known_config;
  base::Tokens known_limit = 0;
  platform::EraTracker eras;
  base::Millis next_poll_at;
};

}  // namespace godwit::ledger

#endif  // LEDGER_TESTS_SIMULATED_ROUTER_H_
