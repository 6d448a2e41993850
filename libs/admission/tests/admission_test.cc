#include <string>
#include <vector>

#include "admission/organisation_limits.h"
#include "admission/pending_queue.h"
#include "admission/prompt_estimate.h"

#include <CppUTest/TestHarness.h>

using godwit::admission::OrganisationLimits;
using godwit::admission::PendingEntry;
using godwit::admission::PendingQueue;
using godwit::admission::UpperBoundTokens;
using godwit::base::ErrorKind;
using godwit::base::Millis;
using godwit::base::OrganisationId;
using godwit::base::Seconds;

TEST_GROUP(OrganisationLimits){};

TEST(OrganisationLimits, AdmitsWithinRateAndConcurrency) {
  struct Case {
    int64_t rate;
    int64_t concurrent;
    int64_t at_ms;
    bool admitted;
    int64_t retry_after_ms;
  };
  const std::vector<std::vector<Case>> tables = {
      // No limits.
      {{0, 0, 0, true, 0}, {0, 0, 0, true, 0}},
      // A burst of one second's requests, then one per half second.
      {{2, 0, 0, true, 0},
       {2, 0, 0, true, 0},
       {2, 0, 0, false, 500},
       {2, 0, 499, false, 1},
       {2, 0, 500, true, 0},
       {2, 0, 500, false, 500}},
      // The bucket holds no more than one second's requests.
      {{1, 0, 0, true, 0}, {1, 0, 9000, true, 0}, {1, 0, 9000, false, 1000}},
      {{0, 1, 0, true, 0}, {0, 1, 10, false, 500}},
  };
  for (const auto& table : tables) {
    OrganisationLimits limits;
    for (const Case& c : table) {
      const auto refusal = limits.Admit(Millis(c.at_ms), OrganisationId("o"),
                                        c.rate, c.concurrent);
      CHECK_EQUAL(c.admitted, !refusal.has_value());
      if (refusal) {
        CHECK(refusal->kind == ErrorKind::kRateLimited);
        LONGS_EQUAL(c.retry_after_ms, refusal->retry_after.count());
      }
    }
  }
}

TEST(OrganisationLimits, ReleaseFreesCapacity) {
  OrganisationLimits limits;
  const OrganisationId id("o");
  CHECK(!limits.Admit(Millis(0), id, 0, 1));
  CHECK(limits.Admit(Millis(0), id, 0, 1).has_value());
  limits.Release(id);
  CHECK(!limits.Admit(Millis(0), id, 0, 1));
  CHECK(!limits.Admit(Millis(0), OrganisationId("other"), 0, 1));
  LONGS_EQUAL(1, limits.in_progress(id));
}

TEST_GROUP(PendingQueue){};

TEST(PendingQueue, PopsByAgedPriority) {
  struct Case {
    std::vector<std::pair<int64_t, int64_t>> arrivals;  // Priority, time.
    std::vector<int64_t> order;
  };
  const std::vector<Case> cases = {
      {{{50, 0}, {50, 1}, {90, 2}}, {2, 0, 1}},
      // 10 points equal 2 s of waiting.
      {{{50, 0}, {60, 1999}}, {1, 0}},
      {{{50, 0}, {60, 2001}}, {0, 1}},
  };
  for (const Case& c : cases) {
    PendingQueue queue(10);
    for (size_t i = 0; i < c.arrivals.size(); ++i) {
      const PendingEntry entry{static_cast<int64_t>(i), c.arrivals[i].first,
                               Seconds(60)};
      CHECK(!queue.Push(Millis(c.arrivals[i].second), entry));
    }
    for (int64_t id : c.order) {
      LONGS_EQUAL(id, queue.PopReady(Seconds(5)).value());
    }
    CHECK(!queue.PopReady(Seconds(5)).has_value());
  }
}

TEST(PendingQueue, RefusesWhenTheWaitExceedsTheDeadline) {
  PendingQueue queue(100);
  for (int64_t id = 0; id < 20; ++id) {
    CHECK(!queue.Push(Millis(0), PendingEntry{id, 50, Seconds(60)}));
  }
  for (int64_t pop = 1; pop <= 10; ++pop) {
    CHECK(queue.PopReady(Millis(pop * 100)).has_value());
  }
  LONGS_EQUAL(1000, queue.PredictedWait(Seconds(1), 50).count());
  const auto refusal =
      queue.Push(Seconds(1), PendingEntry{100, 50, Millis(1500)});
  CHECK(refusal.has_value());
  CHECK(refusal->kind == ErrorKind::kOverloaded);
  LONGS_EQUAL(500, refusal->retry_after.count());
  CHECK(!queue.Push(Seconds(1), PendingEntry{101, 90, Millis(1500)}));
  CHECK(!queue.Push(Seconds(1), PendingEntry{102, 50, Millis(2500)}));
}

TEST(PendingQueue, IdleTimeDoesNotIncreaseThePredictedWait) {
  PendingQueue queue(10);
  for (int64_t at = 0; at < 10; ++at) {
    CHECK(!queue.Push(Seconds(at), PendingEntry{at, 50, Seconds(100)}));
    CHECK(queue.PopReady(Seconds(at)).has_value());
  }
  CHECK(!queue.Push(Seconds(50), PendingEntry{50, 50, Seconds(51)}));
  CHECK(!queue.Push(Seconds(50), PendingEntry{51, 50, Seconds(51)}));
}

TEST(PendingQueue, BoundsItsSizeAndRemovesExpiredAndCancelledEntries) {
  PendingQueue queue(2);
  CHECK(!queue.Push(Millis(0), PendingEntry{1, 50, Millis(100)}));
  CHECK(!queue.Push(Millis(0), PendingEntry{2, 50, Millis(200)}));
  CHECK(queue.Push(Millis(0), PendingEntry{3, 50, Millis(300)}).has_value());
  CHECK((queue.Expire(Millis(100)) == std::vector<int64_t>{1}));
  CHECK(queue.Remove(2));
  CHECK_FALSE(queue.Remove(2));
  LONGS_EQUAL(0, queue.size());
}

TEST_GROUP(PromptEstimate){};

TEST(PromptEstimate, BoundsTokensByBytes) {
  LONGS_EQUAL(64, UpperBoundTokens(0));
  LONGS_EQUAL(1064, UpperBoundTokens(1000));
}
