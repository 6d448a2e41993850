#include "platform/prefix_watcher.h"

#include <algorithm>
#include <cstdint>
#include <string>
#include <utility>
#include <variant>
#include <vector>

#include <CppUTest/TestHarness.h>

using godwit::base::Millis;
using godwit::platform::KvChange;
using godwit::platform::KvItem;
using godwit::platform::KvListDone;
using godwit::platform::KvPage;
using godwit::platform::KvVersion;
using godwit::platform::KvWatchDone;
using godwit::platform::PrefixWatcher;
using List = PrefixWatcher::List;
using Watch = PrefixWatcher::Watch;

namespace {

KvListDone ListDone(std::vector<KvItem> items,
                    bool truncated,
                    int64_t revision) {
  return {KvPage{std::move(items), truncated, KvVersion(revision)}};
}

KvWatchDone WatchDone(KvWatchDone::Outcome outcome,
                      std::vector<KvChange> changes = {},
                      int64_t revision = 0) {
  return {outcome, std::move(changes), KvVersion(revision)};
}

template <typename Update>
size_t CountOf(const std::vector<PrefixWatcher::Update>& updates) {
  size_t count = 0;
  for (const auto& item : updates) {
    count += std::holds_alternative<Update>(item) ? 1 : 0;
  }
  return count;
}

// A watcher that has read a list at revision 10.
PrefixWatcher ListedWatcher() {
  PrefixWatcher watcher;
  watcher.Next(Millis(0));
  watcher.On(Millis(0), ListDone({}, false, 10));
  return watcher;
}

}  // namespace

TEST_GROUP(PrefixWatcher){};

TEST(PrefixWatcher, ListsAllPagesAndWatchesFromTheFirstOne) {
  PrefixWatcher watcher;
  CHECK(std::get<List>(*watcher.Next(Millis(0))).start_after.empty());
  CHECK(!watcher.Next(Millis(0)));
  CHECK(watcher.On(Millis(0), ListDone({{"a", "1", KvVersion(3)}}, true, 10))
            .empty());
  CHECK(std::get<List>(*watcher.Next(Millis(0))).start_after == "a");
  const auto updates =
      watcher.On(Millis(0), ListDone({{"b", "2", KvVersion(4)}}, false, 12));
  CHECK_EQUAL(2, std::get<PrefixWatcher::Listed>(updates[0]).items.size());
  // Watching from the first page's revision reports changes made between the
  // two pages.
  CHECK_EQUAL(
      10, std::get<Watch>(*watcher.Next(Millis(0))).after_revision.revision);
}

TEST(PrefixWatcher, ContinuesFromTheLastReceivedRevision) {
  PrefixWatcher watcher = ListedWatcher();
  watcher.Next(Millis(0));
  const auto updates =
      watcher.On(Millis(5), WatchDone(KvWatchDone::Outcome::kChanges,
                                      {{"a", "1", KvVersion(15)}}, 15));
  CHECK_EQUAL(1, CountOf<PrefixWatcher::Changed>(updates));
  CHECK_EQUAL(
      15, std::get<Watch>(*watcher.Next(Millis(5))).after_revision.revision);
}

TEST(PrefixWatcher, ListsAgainWhenAChangeMayBeMissed) {
  for (const auto outcome :
       {KvWatchDone::Outcome::kCompacted, KvWatchDone::Outcome::kFailed}) {
    PrefixWatcher watcher = ListedWatcher();
    watcher.Next(Millis(0));
    watcher.On(Millis(5), WatchDone(outcome));
    CHECK(std::holds_alternative<List>(*watcher.Next(Millis(5))));
  }
}

TEST(PrefixWatcher, ReportsTheKvUnavailableAfterTwoFailuresAndBacksOff) {
  PrefixWatcher watcher = ListedWatcher();
  watcher.Next(Millis(0));
  auto updates =
      watcher.On(Millis(0), WatchDone(KvWatchDone::Outcome::kFailed));
  CHECK_EQUAL(0, CountOf<PrefixWatcher::Unavailable>(updates));
  watcher.Next(Millis(0));
  updates = watcher.On(Millis(0), KvListDone());
  CHECK_EQUAL(1, CountOf<PrefixWatcher::Unavailable>(updates));
  CHECK(!watcher.Next(Millis(10)));
  CHECK(watcher.Next(Millis(60)).has_value());
  updates = watcher.On(Millis(60), KvListDone());
  CHECK_EQUAL(0, CountOf<PrefixWatcher::Unavailable>(updates));
  CHECK(!watcher.Next(Millis(120)));
  CHECK(watcher.Next(Millis(200)).has_value());
  updates = watcher.On(Millis(200), ListDone({}, false, 20));
  CHECK_EQUAL(1, CountOf<PrefixWatcher::Available>(updates));
  CHECK_EQUAL(1, CountOf<PrefixWatcher::Listed>(updates));
}

TEST(PrefixWatcher, ReportsABurstOfChangesWithFewWatches) {
  // 54 servers register within 2.7 s.
  constexpr int k_changes = 54;
  constexpr int64_t k_spacing_ms = 50;
  struct Case {
    Millis interval;
    int most_watches;
  };
  for (const Case& c :
       {Case{Millis(0), k_changes + 1}, Case{Millis(250), 13}}) {
    PrefixWatcher watcher(c.interval);
    watcher.Next(Millis(0));
    watcher.On(Millis(0), ListDone({}, false, 10));
    int watches = 0;
    int64_t reported = 0;
    // Negative while no watch waits.
    int64_t watched_after = -1;
    for (int64_t at = 0; at <= k_changes * k_spacing_ms + 1000; at += 10) {
      const int64_t revision =
          10 + std::min<int64_t>(k_changes, at / k_spacing_ms);
      if (const auto request = watcher.Next(Millis(at))) {
        ++watches;
        watched_after = std::get<Watch>(*request).after_revision.revision;
      }
      if (watched_after >= 0 && watched_after < revision) {
        std::vector<KvChange> changes(
            static_cast<size_t>(revision - watched_after));
        reported += revision - watched_after;
        watched_after = -1;
        watcher.On(Millis(at), WatchDone(KvWatchDone::Outcome::kChanges,
                                         std::move(changes), revision));
      }
    }
    CHECK_EQUAL(k_changes, reported);
    CHECK_TEXT(watches <= c.most_watches, std::to_string(watches).c_str());
  }
}
