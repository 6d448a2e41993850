#include "platform/prefix_follower.h"

#include <string>
#include <variant>
#include <vector>

#include <CppUTest/TestHarness.h>

using godwit::base::Millis;
using godwit::platform::KvChange;
using godwit::platform::KvItem;
using godwit::platform::KvListDone;
using godwit::platform::KvPage;
using godwit::platform::KvWatchDone;
using godwit::platform::PrefixFollower;
using List = PrefixFollower::List;
using Watch = PrefixFollower::Watch;

namespace {

KvListDone Page(std::vector<KvItem> items, bool truncated, int64_t revision) {
  return {KvPage{std::move(items), truncated, revision}};
}

KvWatchDone Outcome(KvWatchDone::Outcome outcome,
                    std::vector<KvChange> changes = {},
                    int64_t revision = 0) {
  return {outcome, std::move(changes), revision};
}

template <typename News>
size_t CountOf(const std::vector<PrefixFollower::News>& news) {
  size_t count = 0;
  for (const auto& item : news) {
    count += std::holds_alternative<News>(item) ? 1 : 0;
  }
  return count;
}

// A follower that has listed at revision 10.
PrefixFollower Following() {
  PrefixFollower follower;
  follower.Next(Millis(0));
  follower.On(Millis(0), Page({}, false, 10));
  return follower;
}

}  // namespace

TEST_GROUP(PrefixFollower){};

TEST(PrefixFollower, ListsAllPagesAndWaitsFromTheFirst) {
  PrefixFollower follower;
  CHECK(std::get<List>(*follower.Next(Millis(0))).start_after.empty());
  CHECK(!follower.Next(Millis(0)));
  CHECK(follower.On(Millis(0), Page({{"a", "1", 3}}, true, 10)).empty());
  CHECK(std::get<List>(*follower.Next(Millis(0))).start_after == "a");
  const auto news = follower.On(Millis(0), Page({{"b", "2", 4}}, false, 12));
  CHECK_EQUAL(2, std::get<PrefixFollower::Listed>(news[0]).items.size());
  // Changes between the two pages are seen by waiting from the first.
  CHECK_EQUAL(10, std::get<Watch>(*follower.Next(Millis(0))).after_revision);
}

TEST(PrefixFollower, GoesOnFromWhatItSaw) {
  PrefixFollower follower = Following();
  follower.Next(Millis(0));
  const auto news = follower.On(
      Millis(5), Outcome(KvWatchDone::Outcome::kChanges, {{"a", "1", 15}}, 15));
  CHECK_EQUAL(1, CountOf<PrefixFollower::Changed>(news));
  CHECK_EQUAL(15, std::get<Watch>(*follower.Next(Millis(5))).after_revision);
}

TEST(PrefixFollower, ListsAgainWhenItMayHaveMissedAChange) {
  for (const auto outcome :
       {KvWatchDone::Outcome::kCompacted, KvWatchDone::Outcome::kFailed}) {
    PrefixFollower follower = Following();
    follower.Next(Millis(0));
    follower.On(Millis(5), Outcome(outcome));
    CHECK(std::holds_alternative<List>(*follower.Next(Millis(5))));
  }
}

TEST(PrefixFollower, CallsTheKvLostAfterTwoFailuresAndPausesLonger) {
  PrefixFollower follower = Following();
  follower.Next(Millis(0));
  auto news = follower.On(Millis(0), Outcome(KvWatchDone::Outcome::kFailed));
  CHECK_EQUAL(0, CountOf<PrefixFollower::Lost>(news));
  follower.Next(Millis(0));
  news = follower.On(Millis(0), KvListDone());
  CHECK_EQUAL(1, CountOf<PrefixFollower::Lost>(news));
  CHECK(!follower.Next(Millis(10)));
  CHECK(follower.Next(Millis(60)).has_value());
  news = follower.On(Millis(60), KvListDone());
  CHECK_EQUAL(0, CountOf<PrefixFollower::Lost>(news));
  CHECK(!follower.Next(Millis(120)));
  CHECK(follower.Next(Millis(200)).has_value());
  news = follower.On(Millis(200), Page({}, false, 20));
  CHECK_EQUAL(1, CountOf<PrefixFollower::Found>(news));
  CHECK_EQUAL(1, CountOf<PrefixFollower::Listed>(news));
}
