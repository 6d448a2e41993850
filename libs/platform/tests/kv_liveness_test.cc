#include "platform/kv_liveness.h"

#include <cstddef>
#include <cstdint>

#include "platform/call_deadline.h"

#include <CppUTest/TestHarness.h>

using godwit::base::Millis;
using godwit::platform::CallDeadline;
using godwit::platform::KvLiveness;

namespace {

constexpr Millis kDetection(3000);

}  // namespace

TEST_GROUP(KvLiveness){};

TEST(KvLiveness, WatchThatWasPendingDuringAnUnansweredCallIsUnreliable) {
  struct Case {
    const char* name;
    int64_t sent_at_ms;
    bool is_reliable;
  };
  KvLiveness liveness(kDetection);
  CHECK(liveness.IsWatchReliable(Millis(0)));
  liveness.OnAnswered(Millis(3000));
  liveness.OnUnanswered(Millis(5000));
  // The KV answers again, which says nothing about earlier watches.
  liveness.OnAnswered(Millis(5100));
  for (const Case& c : {Case{"sent before the call", 3500, false},
                        Case{"sent while the call was pending", 4500, false},
                        Case{"sent as the call ended", 5000, false},
                        Case{"sent after the call", 5001, true}}) {
    CHECK_EQUAL_TEXT(c.is_reliable,
                     liveness.IsWatchReliable(Millis(c.sent_at_ms)), c.name);
  }
}

TEST(KvLiveness, ProbeIsDueUnlessACallWasAnsweredRecently) {
  struct Case {
    const char* name;
    size_t processes;
    int64_t since_answer_ms;
    bool is_due;
  };
  for (const Case& c :
       {Case{"just answered", 1, 0, false},
        Case{"answered a while ago", 1, 499, false},
        Case{"quiet", 1, 500, true}, Case{"quiet, 68 processes", 68, 500, true},
        Case{"quiet, 320 processes", 320, 1599, false},
        Case{"longer quiet, 320 processes", 320, 1600, true}}) {
    KvLiveness liveness(kDetection);
    liveness.SetProcesses(c.processes);
    liveness.OnAnswered(Millis(10'000));
    // Answers may come out of order.
    liveness.OnAnswered(Millis(9000));
    CHECK_EQUAL_TEXT(c.is_due,
                     liveness.IsProbeDue(Millis(10'000 + c.since_answer_ms)),
                     c.name);
  }
}

TEST(KvLiveness, UnansweredCallsDoNotPutOffProbes) {
  KvLiveness liveness(kDetection);
  liveness.OnAnswered(Millis(1000));
  liveness.OnUnanswered(Millis(1400));
  CHECK(liveness.IsProbeDue(Millis(1500)));
}

TEST(KvLiveness, LostWatchIsNoticedLaterThanStated) {
  // What the calls of a slow KV take.
  constexpr Millis slow_list(250);
  for (const int64_t detection_ms : {2000, 3000, 4000, 10'000}) {
    const Millis detection(detection_ms);
    const KvLiveness liveness(detection);
    CallDeadline deadline(Millis(0), liveness.watch_wait());
    CHECK(deadline.HasPassed(detection - slow_list));
    // A watch without changes is answered once its wait is over.
    CHECK(!deadline.HasPassed(liveness.watch_wait() + slow_list));
    CHECK(liveness.watch_wait() > Millis(0));
  }
}

TEST(KvLiveness, WatchesWaitHoweverShortTheStatedTime) {
  CHECK(KvLiveness(Millis(0)).watch_wait() > Millis(0));
}
