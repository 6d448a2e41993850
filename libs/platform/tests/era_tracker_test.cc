#include "platform/era_tracker.h"

#include <cstdint>
#include <optional>
#include <vector>

#include "platform/kv_page.h"
#include "platform/kv_version.h"
#include "platform/list_reader.h"

#include <CppUTest/TestHarness.h>

using godwit::platform::EraTracker;
using godwit::platform::KvPage;
using godwit::platform::KvVersion;
using godwit::platform::ListReader;
using Verdict = godwit::platform::EraTracker::Verdict;

TEST_GROUP(EraTracker){};

TEST(EraTracker, TellsWhichAnswersToBelieve) {
  struct Answer {
    std::optional<int64_t> stated;
    Verdict verdict;
    int64_t current;
  };
  struct Case {
    const char* name;
    std::vector<Answer> answers;
  };
  const std::vector<Case> cases = {
      {"a KV without eras",
       {{std::nullopt, Verdict::kCurrent, 0},
        {std::nullopt, Verdict::kCurrent, 0}}},
      {"the first era is no return",
       {{7, Verdict::kFirstEra, 7}, {7, Verdict::kCurrent, 7}}},
      {"eras that begin with zero",
       {{0, Verdict::kFirstEra, 0},
        {0, Verdict::kCurrent, 0},
        {1, Verdict::kNewEra, 1}}},
      {"a return, and an answer that it overtook",
       {{3, Verdict::kFirstEra, 3},
        {4, Verdict::kNewEra, 4},
        {3, Verdict::kOutdated, 4},
        {4, Verdict::kCurrent, 4}}},
      {"two returns of which one was not seen",
       {{3, Verdict::kFirstEra, 3}, {5, Verdict::kNewEra, 5}}},
      {"a missing or invalid era among stated ones",
       {{3, Verdict::kFirstEra, 3},
        {std::nullopt, Verdict::kOutdated, 3},
        {-1, Verdict::kOutdated, 3},
        {3, Verdict::kCurrent, 3}}},
      {"a KV that begins to state eras",
       {{std::nullopt, Verdict::kCurrent, 0}, {2, Verdict::kFirstEra, 2}}},
  };
  for (const Case& c : cases) {
    EraTracker eras;
    for (const Answer& answer : c.answers) {
      CHECK_TEXT(answer.verdict == eras.OnAnswer(answer.stated), c.name);
      CHECK_EQUAL_TEXT(answer.current, eras.current(), c.name);
    }
  }
}

TEST(EraTracker, OrdersVersionsByEraFirst) {
  CHECK(KvVersion(1, 50) < KvVersion(1, 51));
  CHECK(KvVersion(1, 50) < KvVersion(2, 40));
  CHECK(KvVersion(1, 50) != KvVersion(2, 50));
  // A key that is missing after the return is news, too.
  CHECK(KvVersion(1, 50) < KvVersion(2, 0));
  CHECK(!KvVersion(2, 0).exists());
  CHECK(KvVersion(2, 40).exists());
}

TEST(EraTracker, StartsAListOverThatRunsIntoANewEra) {
  ListReader reader;
  KvPage first;
  first.items = {{"a", "", KvVersion(1, 5)}, {"b", "", KvVersion(1, 6)}};
  first.truncated = true;
  first.revision = KvVersion(1, 9);
  CHECK(!reader.Add(first));
  STRCMP_EQUAL("b", reader.start_after().c_str());
  KvPage second;
  second.items = {{"c", "", KvVersion(2, 4)}};
  second.revision = KvVersion(2, 7);
  CHECK(!reader.Add(second));
  STRCMP_EQUAL("", reader.start_after().c_str());
  second.items = {{"a", "", KvVersion(2, 3)}, {"c", "", KvVersion(2, 4)}};
  const auto list = reader.Add(second);
  CHECK(list.has_value());
  CHECK_EQUAL(2, list->items.size());
  CHECK(KvVersion(2, 7) == list->revision);
}
