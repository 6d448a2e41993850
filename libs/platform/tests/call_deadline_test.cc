#include "platform/call_deadline.h"

#include <algorithm>
#include <cstdint>
#include <optional>
#include <vector>

#include <CppUTest/TestHarness.h>

using godwit::base::Millis;
using godwit::platform::CallDeadline;

namespace {

constexpr Millis kStep(5);
constexpr Millis kGiveUp(60'000);
constexpr int64_t kBitsPerByte = 8;
constexpr int64_t kStoreLatencyMs = 10;
// Bits that 10 Mbit/s carry in a millisecond.
constexpr int64_t kNarrow = 10'000;
// Answers with 300 KB and with the largest value, as base64.
constexpr int64_t kLarge = 300'000 * 4 / 3;
constexpr int64_t kLargest = 1'048'576 * 4 / 3;

struct Link {
  // Capacity, and the part of it that service takes.
  int64_t bits_per_ms = 0;
  int64_t service_percent = 0;
  // The link carries nothing in this span.
  Millis interrupted_from;
  Millis interrupted_until;
};

// Reads an answer of `bytes` over a link and starts over whenever the deadline
// passes. Returns the time until it was read completely, or no value.
std::optional<Millis> TimeToRead(int64_t bytes, const Link& link) {
  Millis now(0);
  while (now < kGiveUp) {
    CallDeadline deadline(now, Millis(0));
    int64_t left = bytes * kBitsPerByte;
    Millis first_byte = now + Millis(kStoreLatencyMs);
    while (!deadline.HasPassed(now)) {
      now = now + kStep;
      if (now < first_byte ||
          (now >= link.interrupted_from && now < link.interrupted_until)) {
        continue;
      }
      left -=
          kStep.count() * link.bits_per_ms * (100 - link.service_percent) / 100;
      if (left <= 0) {
        return now;
      }
      deadline.OnProgress(now);
    }
  }
  return std::nullopt;
}

}  // namespace

TEST_GROUP(CallDeadline){};

TEST(CallDeadline, LargeAnswersAreReadOverNarrowLinks) {
  struct Case {
    const char* name;
    int64_t bytes;
    Link link;
    // Upper bound: the transfer at the rate that service leaves, and a quarter.
    int64_t limit_ms;
  };
  const std::vector<Case> cases = {
      {"300 KB, idle link", kLarge, {kNarrow, 0, {}, {}}, 420},
      {"300 KB, shared link", kLarge, {kNarrow, 75, {}, {}}, 1620},
      {"1 MB, idle link", kLargest, {kNarrow, 0, {}, {}}, 1420},
      {"1 MB, shared link", kLargest, {kNarrow, 75, {}, {}}, 5620},
      {"1 MB, nearly full link", kLargest, {kNarrow, 88, {}, {}}, 11'680},
      {"1 MB, link interrupted for a moment",
       kLargest,
       {kNarrow, 75, Millis(1000), Millis(1800)},
       6620},
      // The call that the interruption ended starts over.
      {"1 MB, link interrupted for seconds",
       kLargest,
       {kNarrow, 75, Millis(1000), Millis(9000)},
       14'620}};
  for (const Case& c : cases) {
    const auto time = TimeToRead(c.bytes, c.link);
    CHECK_TEXT(time.has_value(), c.name);
    CHECK_TEXT(time->count() <= c.limit_ms, c.name);
  }
}

TEST(CallDeadline, PassesWithoutProgress) {
  struct Case {
    const char* name;
    int64_t wait_ms;
    std::vector<int64_t> progress_ms;
    int64_t passes_at_ms;
  };
  std::vector<int64_t> trickle;
  for (int64_t at = 500; at < 60'000; at += 500) {
    trickle.push_back(at);
  }
  for (const Case& c :
       {Case{"no answer", 0, {}, 1000}, Case{"a watch", 10'000, {}, 11'000},
        Case{"an answer that stops", 0, {100, 900}, 1900},
        Case{"an answer to a watch that stops", 10'000, {2000}, 3000},
        Case{"an answer that trickles", 0, trickle, 12'000}}) {
    CallDeadline deadline(Millis(0), Millis(c.wait_ms));
    Millis now(0);
    while (!deadline.HasPassed(now)) {
      now = now + Millis(100);
      if (std::find(c.progress_ms.begin(), c.progress_ms.end(), now.count()) !=
          c.progress_ms.end()) {
        deadline.OnProgress(now);
      }
    }
    CHECK_EQUAL_TEXT(c.passes_at_ms, now.count(), c.name);
  }
}
