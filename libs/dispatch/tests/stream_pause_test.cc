// Streams that are slow, and streams that send bytes but no events.
#include <memory>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "dispatch/dispatcher.h"
#include "dispatch/routing_table.h"

#include <CppUTest/TestHarness.h>

using godwit::base::Millis;
using godwit::base::ServiceId;
using godwit::dispatch::AbortCall;
using godwit::dispatch::AttemptAnswered;
using godwit::dispatch::AttemptPaused;
using godwit::dispatch::AttemptProgressed;
using godwit::dispatch::AttemptReceived;
using godwit::dispatch::Backend;
using godwit::dispatch::BackendsListed;
using godwit::dispatch::CallArrived;
using godwit::dispatch::CancelAttempt;
using godwit::dispatch::Dispatcher;
using godwit::dispatch::DispatcherOptions;
using godwit::dispatch::DispatchEvent;
using godwit::dispatch::RefuseCall;
using godwit::dispatch::RepeatRule;
using godwit::dispatch::Route;
using godwit::dispatch::RoutingTable;
using godwit::dispatch::RoutingTableUpdated;
using godwit::dispatch::StartAttempt;
using godwit::dispatch::Tick;

namespace {

constexpr Millis kTick(25);
constexpr Millis kPause(1000);
constexpr Millis kTimeout(30'000);
// Eight times the pause, the next tick, and the time until bytes arrive.
constexpr Millis kLatestEnd(9'200);

Route StreamRoute(bool is_resumable) {
  Route route;
  route.name = "chat";
  route.host = "h";
  route.prefix = "/";
  route.repeat =
      is_resumable ? RepeatRule::kResumable : RepeatRule::kAtMostOnce;
  route.is_stream = true;
  route.timeout = kTimeout;
  route.event_gap_objective = kPause;
  route.max_attempts = 2;
  route.targets = {{ServiceId("model"), 1}};
  return route;
}

}  // namespace

TEST_GROUP(StreamPause) {
  void Begin(bool is_resumable) {
    RoutingTable::Contents contents;
    contents.version = 1;
    contents.revision = godwit::platform::KvVersion(1);
    contents.routes = {StreamRoute(is_resumable)};
    Raise(RoutingTableUpdated{
        std::make_shared<const RoutingTable>(std::move(contents))});
    BackendsListed listed;
    for (const char* instance : {"s1", "s2"}) {
      Backend backend;
      backend.instance = instance;
      backend.service = ServiceId("model");
      backend.address = {"10.0.0.1", static_cast<uint16_t>(instance[1])};
      backend.slots = 4;
      listed.backends.push_back(backend);
    }
    Raise(listed);
    CallArrived arrived;
    arrived.call = 1;
    arrived.request.id = "call-1";
    arrived.request.host = "h";
    arrived.request.path = "/x";
    Raise(arrived);
    CHECK_EQUAL(1, attempt);
  }
  void Raise(const DispatchEvent& event) {
    for (const auto& command : dispatcher->Step(now, event)) {
      if (const auto* start = std::get_if<StartAttempt>(&command)) {
        attempt = start->attempt;
      }
      const bool ends = std::holds_alternative<CancelAttempt>(command) ||
                        std::holds_alternative<AbortCall>(command) ||
                        std::holds_alternative<RefuseCall>(command);
      if (ends && !ended_at) {
        ended_at = now;
      }
    }
  }
  void SendEvent(int64_t number) {
    if (number == 1) {
      AttemptAnswered answered;
      answered.call = 1;
      answered.attempt = 1;
      answered.reply.status = 200;
      answered.reply.is_signed = true;
      Raise(answered);
    }
    Raise(AttemptProgressed{1, 1, number, number});
  }

  std::unique_ptr<Dispatcher> dispatcher;
  Millis now{1000};
  int64_t attempt = 0;
  std::optional<Millis> ended_at;
};

TEST(StreamPause, SlowStreamsGoOnAndStalledOnesEnd) {
  struct Case {
    const char* name;
    // Number of events, and the times between two events and two reads that
    // complete none; zero: there are none.
    int64_t events;
    Millis event_gap;
    Millis byte_gap;
    bool repeats_events;
    bool is_paused;
    bool goes_on;
  };
  const std::vector<Case> cases = {
      {"events within the pause", 100, Millis(950), Millis(0), false, false,
       true},
      {"bytes within the pause", 100, Millis(5000), Millis(950), false, false,
       true},
      {"bytes, but no event", 1, Millis(0), Millis(300), false, false, false},
      {"bytes, but no first event", 0, Millis(0), Millis(300), false, false,
       false},
      {"repeated events, catching up", 1, Millis(0), Millis(300), true, false,
       true},
      {"a caller that reads slowly", 1, Millis(0), Millis(0), false, true,
       true},
  };
  for (const bool is_resumable : {false, true}) {
    for (const Case& c : cases) {
      dispatcher = std::make_unique<Dispatcher>(DispatcherOptions());
      now = Millis(1000);
      attempt = 0;
      ended_at.reset();
      Begin(is_resumable);
      const Millis begun_at = now;
      Millis next_event = now + Millis(100);
      Millis next_byte = now + Millis(100);
      int64_t sent = 0;
      while (now < begun_at + Millis(20'000)) {
        now = now + kTick;
        if (sent < c.events && now >= next_event) {
          SendEvent(++sent);
          next_event = now + c.event_gap;
          if (c.is_paused) {
            Raise(AttemptPaused{1, 1, true});
          }
        } else if (c.byte_gap > Millis() && now >= next_byte) {
          Raise(AttemptReceived{1, 1, c.repeats_events});
          next_byte = now + c.byte_gap;
        }
        Raise(Tick());
      }
      CHECK_EQUAL_TEXT(c.goes_on, !ended_at, c.name);
      if (ended_at) {
        CHECK_TEXT(*ended_at - begun_at <= kLatestEnd, c.name);
        CHECK_TEXT(*ended_at - begun_at >= kPause * 8, c.name);
        CHECK_EQUAL_TEXT(is_resumable ? 2 : 1, attempt, c.name);
      }
    }
  }
}
