// Requests at a router that is about to stop.
#include <algorithm>
#include <map>
#include <memory>
#include <string>
#include <variant>
#include <vector>

#include "dispatch/dispatcher.h"
#include "dispatch/routing_table.h"

#include <CppUTest/TestHarness.h>

using godwit::base::ErrorKind;
using godwit::base::Millis;
using godwit::base::ServiceId;
using godwit::dispatch::AttemptAnswered;
using godwit::dispatch::Backend;
using godwit::dispatch::BackendsListed;
using godwit::dispatch::CallArrived;
using godwit::dispatch::Dispatcher;
using godwit::dispatch::DispatcherOptions;
using godwit::dispatch::DispatchEvent;
using godwit::dispatch::RefuseCall;
using godwit::dispatch::Route;
using godwit::dispatch::RoutingTable;
using godwit::dispatch::RoutingTableUpdated;
using godwit::dispatch::StartAttempt;
using godwit::dispatch::StopRequested;
using godwit::dispatch::Tick;

namespace {

constexpr Millis kTick(25);
constexpr Millis kStop(7100);
constexpr int kOk = 200;

// A router with one server, which takes one request at a time and the same time
// for each.
class StoppingRouter {
 public:
  StoppingRouter(Millis run_time, Millis timeout) : run_time_(run_time) {
    Route route;
    route.name = "order";
    route.host = "h";
    route.prefix = "/";
    route.timeout = timeout;
    route.max_attempts = 1;
    route.targets = {{ServiceId("plain"), 1}};
    RoutingTable::Contents contents;
    contents.version = 1;
    contents.revision = godwit::platform::KvVersion(1);
    contents.routes = {route};
    Raise(RoutingTableUpdated{
        std::make_shared<const RoutingTable>(std::move(contents))});
    Backend backend;
    backend.instance = "s1";
    backend.service = ServiceId("plain");
    backend.address = {"10.0.0.1", 1};
    backend.slots = 1;
    BackendsListed listed;
    listed.backends = {backend};
    Raise(listed);
  }

  void Arrive() {
    CallArrived arrived;
    arrived.call = ++calls_;
    arrived.request.id = "call-" + std::to_string(calls_);
    arrived.request.host = "h";
    arrived.request.path = "/x";
    Raise(arrived);
  }

  void Stop(Millis in) {
    stop_ends_at_ = now_ + in;
    Raise(StopRequested{stop_ends_at_});
  }

  void Run(Millis time) {
    for (const Millis end = now_ + time; now_ < end; now_ = now_ + kTick) {
      while (!running_.empty() && running_.begin()->first <= now_) {
        AttemptAnswered answered;
        answered.call = running_.begin()->second.call;
        answered.attempt = running_.begin()->second.attempt;
        answered.reply.status = kOk;
        answered.reply.is_signed = true;
        answered.complete = true;
        running_.erase(running_.begin());
        ++answered_;
        Raise(answered);
      }
      Raise(Tick{});
    }
  }

  int64_t answered() const { return answered_; }
  int64_t refused() const { return refused_; }
  // When the last request was refused.
  Millis refused_at() const { return refused_at_; }
  Millis now() const { return now_; }
  // Requests that run beyond the end of the router.
  int64_t cut_off() const { return cut_off_; }

 private:
  void Raise(const DispatchEvent& event) {
    for (const auto& command : dispatcher_.Step(now_, event)) {
      if (const auto* start = std::get_if<StartAttempt>(&command)) {
        running_.emplace(now_ + run_time_, *start);
        const bool is_late =
            stop_ends_at_ > Millis() && now_ + run_time_ > stop_ends_at_;
        cut_off_ += is_late ? 1 : 0;
      } else if (const auto* refusal = std::get_if<RefuseCall>(&command)) {
        CHECK(refusal->kind == ErrorKind::kLeaving);
        ++refused_;
        refused_at_ = now_;
      }
    }
  }

  const Millis run_time_;
  Dispatcher dispatcher_{DispatcherOptions()};
  Millis now_{1000};
  Millis stop_ends_at_;
  std::multimap<Millis, StartAttempt> running_;
  int64_t calls_ = 0;
  int64_t answered_ = 0;
  int64_t refused_ = 0;
  int64_t cut_off_ = 0;
  Millis refused_at_;
};

}  // namespace

TEST_GROUP(PlannedStop){};

TEST(PlannedStop, RequestsThatWaitArePassedOnAndCutOff) {
  struct Case {
    const char* name;
    Millis run_time;
    Millis timeout;
    // Whether the router has seen how long requests take.
    bool is_known;
    int64_t waiting;
    // At least so many are answered.
    int64_t answered;
  };
  const std::vector<Case> cases = {
      {"slow server", Millis(4500), Millis(20'000), true, 3, 2},
      {"slow server that is new", Millis(4500), Millis(8000), false, 29, 1},
      {"all end in time", Millis(500), Millis(20'000), true, 9, 11},
      {"some end in time", Millis(2000), Millis(20'000), true, 9, 4},
      {"all time out before the stop", Millis(500), Millis(6000), false, 9, 10},
  };
  for (const Case& c : cases) {
    StoppingRouter router(c.run_time, c.timeout);
    if (c.is_known) {
      router.Arrive();
      router.Run(c.run_time + kTick);
    }
    for (int64_t i = 0; i <= c.waiting; ++i) {
      router.Arrive();
    }
    const Millis stopped_at = router.now();
    router.Stop(kStop);
    router.Run(kStop);
    CHECK_EQUAL_TEXT(0, router.cut_off(), c.name);
    CHECK_TEXT(router.answered() >= c.answered, c.name);
    CHECK_EQUAL_TEXT(c.waiting + 1 + (c.is_known ? 1 : 0),
                     router.answered() + router.refused(), c.name);
    // Once a request can't end in time, it does not wait any longer; how long
    // requests take shows after half of the time at the latest.
    const Millis due = std::max(kStop - c.run_time, Millis(kStop.count() / 2));
    CHECK_TEXT(router.refused() == 0 ||
                   router.refused_at() - stopped_at <= due + kTick,
               c.name);
  }
}

TEST(PlannedStop, RequestOfAnUnknownRouteTimeIsPassedOn) {
  StoppingRouter router(Millis(4500), Millis(8000));
  router.Stop(kStop);
  router.Arrive();
  CHECK_EQUAL(1, router.refused());
  CHECK_EQUAL(0, router.cut_off());
}
