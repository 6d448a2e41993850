#include "dispatch/call_queue.h"

#include <algorithm>
#include <cstdint>
#include <map>
#include <random>
#include <string>
#include <vector>

#include <CppUTest/TestHarness.h>

using godwit::base::Millis;
using godwit::base::OrganisationId;
using godwit::base::ServiceId;
using godwit::dispatch::CallId;
using godwit::dispatch::CallQueue;
using godwit::dispatch::QueuedCall;

namespace {

const ServiceId kService("model");

QueuedCall MakeCall(CallId call,
                    const char* organisation,
                    int64_t urgency,
                    int64_t arrived_at,
                    int64_t work = 1) {
  return {call,    kService,           OrganisationId(organisation),
          urgency, Millis(arrived_at), work};
}

}  // namespace

TEST_GROUP(CallQueue){};

TEST(CallQueue, ServesUrgentCallsFirstWithoutStarvation) {
  // Also without organisations.
  for (const char* organisation : {"", "lantern"}) {
    CallQueue queue;
    queue.Add(MakeCall(1, organisation, 3, 0));
    queue.Add(MakeCall(2, organisation, 0, 500));
    queue.Add(MakeCall(3, organisation, 0, 100));
    // Arrived long after the first.
    queue.Add(MakeCall(4, organisation, 0, 5000));
    const std::vector<CallId> expected = {3, 2, 1, 4};
    CHECK(queue.InOrder(kService) == expected);
    CHECK_EQUAL(2, queue.Ahead(MakeCall(5, organisation, 0, 600)));
    queue.Remove(3);
    queue.Remove(3);
    CHECK_EQUAL(3, queue.size());
  }
}

// Guards against an organisation or kind of request that fills the queue.
TEST(CallQueue, OrganisationsTakeTurns) {
  struct Case {
    const char* name;
    std::vector<QueuedCall> calls;
    std::vector<CallId> order;
  };
  const std::vector<Case> cases = {
      {"a burst waits behind itself",
       {MakeCall(1, "a", 0, 0), MakeCall(2, "a", 0, 1), MakeCall(3, "a", 0, 2),
        MakeCall(4, "b", 0, 3)},
       {1, 4, 2, 3}},
      {"turns go by work",
       {MakeCall(1, "a", 0, 0, 10), MakeCall(2, "a", 0, 1, 10),
        MakeCall(3, "b", 0, 2, 4), MakeCall(4, "b", 0, 3, 4),
        MakeCall(5, "b", 0, 4, 4), MakeCall(6, "b", 0, 5, 4)},
       {1, 3, 4, 5, 2, 6}},
      {"a large call gets its turn",
       {MakeCall(1, "a", 0, 0), MakeCall(2, "a", 0, 1), MakeCall(3, "a", 0, 2),
        MakeCall(4, "b", 0, 3, 1000), MakeCall(5, "b", 0, 4)},
       {1, 4, 2, 3, 5}},
      {"urgency goes before turns",
       {MakeCall(1, "a", 0, 0), MakeCall(2, "a", 0, 1), MakeCall(3, "b", 1, 2)},
       {1, 2, 3}},
      {"an aged call keeps its place among urgencies",
       {MakeCall(1, "a", 1, 0), MakeCall(2, "b", 0, 500),
        MakeCall(3, "b", 0, 300)},
       {3, 1, 2}},
      {"without an organisation, as one of them",
       {MakeCall(1, "", 0, 0), MakeCall(2, "", 0, 1), MakeCall(3, "b", 0, 2)},
       {1, 3, 2}},
  };
  for (const Case& c : cases) {
    CallQueue queue;
    for (const QueuedCall& call : c.calls) {
      queue.Add(call);
    }
    CHECK_TEXT(queue.InOrder(kService) == c.order, c.name);
  }
}

// Guards against turns that are forgotten with each call that starts, and
// against turns that an organisation collects while it has no calls.
TEST(CallQueue, TheLeastServedOrganisationStartsNext) {
  CallQueue queue;
  for (CallId call = 1; call <= 4; ++call) {
    queue.Add(MakeCall(call, "a", 0, call, 10));
  }
  queue.Start(1);
  queue.Start(2);
  queue.Add(MakeCall(5, "b", 0, 50, 10));
  queue.Add(MakeCall(6, "b", 0, 51, 10));
  queue.Add(MakeCall(7, "b", 0, 52, 10));
  const std::vector<CallId> expected = {5, 3, 6, 4, 7};
  CHECK(queue.InOrder(kService) == expected);
  queue.Start(5);
  queue.Remove(6);
  const std::vector<CallId> rest = {3, 7, 4};
  CHECK(queue.InOrder(kService) == rest);
}

// Guards against callers of a burst that are told to come back too soon, and
// others that are refused for it.
TEST(CallQueue, CountsTheCallsAheadOfTheOwnTurn) {
  CallQueue queue;
  for (CallId call = 1; call <= 20; ++call) {
    queue.Add(MakeCall(call, "a", 0, call));
  }
  CHECK_EQUAL(20, queue.Ahead(MakeCall(21, "a", 0, 50)));
  CHECK_EQUAL(1, queue.Ahead(MakeCall(21, "b", 0, 50)));
  queue.Add(MakeCall(21, "b", 0, 50));
  CHECK_EQUAL(3, queue.Ahead(MakeCall(22, "b", 0, 51)));
  CHECK_EQUAL(0, queue.Ahead({22, ServiceId("other"), {}, 0, Millis(0), 1}));
}

// Guards against organisations that get more than their part by the size or the
// number of their calls.
TEST(CallQueue, BackloggedOrganisationsGetEqualWork) {
  constexpr int64_t largest = 50;
  for (uint64_t seed = 1; seed <= 200; ++seed) {
    std::mt19937_64 random(seed);
    CallQueue queue;
    std::map<CallId, QueuedCall> calls;
    std::map<OrganisationId, int64_t> waiting;
    for (CallId call = 1; call <= 60; ++call) {
      const std::string organisation(1, static_cast<char>('a' + random() % 3));
      calls[call] = MakeCall(call, organisation.c_str(), 2,
                             static_cast<int64_t>(random() % 300),
                             1 + static_cast<int64_t>(random() % largest));
      queue.Add(calls[call]);
      ++waiting[calls[call].organisation];
    }
    std::map<OrganisationId, int64_t> served;
    while (queue.size() > 0 &&
           std::all_of(waiting.begin(), waiting.end(),
                       [](const auto& entry) { return entry.second > 0; })) {
      const CallId next = queue.InOrder(kService).front();
      queue.Start(next);
      served[calls[next].organisation] += calls[next].work;
      --waiting[calls[next].organisation];
      for (const auto& [a, work] : served) {
        for (const auto& [b, other] : served) {
          CHECK_TEXT(work - other <= largest, std::to_string(seed).c_str());
        }
      }
    }
  }
}
