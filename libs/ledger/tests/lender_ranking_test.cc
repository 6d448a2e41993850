#include "lender_ranking.h"

#include <algorithm>
#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include <CppUTest/TestHarness.h>

using godwit::base::Endpoint;
using godwit::base::Incarnation;
using godwit::base::ProcessId;
using godwit::ledger::Peer;
using godwit::ledger::RankLenders;

namespace {

constexpr size_t kShards = 400;
constexpr size_t kLenders = 4;

std::vector<Peer> Fleet(size_t large, size_t small) {
  std::vector<Peer> routers;
  for (size_t i = 0; i < large + small; ++i) {
    const std::string name =
        (i < large ? "large-" : "small-") + std::to_string(i);
    routers.push_back({ProcessId(name), Incarnation(name + ".1"),
                       Endpoint{"127.0.0.1", static_cast<uint16_t>(i + 1)},
                       i < large ? 500 : 90});
  }
  return routers;
}

// Returns the number of shards of which each router is the first lender.
std::map<std::string, size_t> FirstLenders(const std::vector<Peer>& routers) {
  std::map<std::string, size_t> shards;
  for (size_t shard = 0; shard < kShards; ++shard) {
    ++shards[RankLenders(shard, routers, kLenders).front().process.value()];
  }
  return shards;
}

}  // namespace

TEST_GROUP(LenderRanking){};

TEST(LenderRanking, PrefersLargeVms) {
  struct Case {
    const char* name;
    size_t large;
    size_t small;
    // Bounds of the share of shards that large VMs lend from, in percent.
    size_t least_percent;
    size_t most_percent;
  };
  for (const Case& c : {Case{"6 of 30 are large", 6, 24, 80, 97},
                        Case{"one of 60 is large", 1, 59, 20, 55},
                        Case{"all are small", 0, 30, 0, 0},
                        Case{"all are large", 5, 0, 100, 100}}) {
    size_t at_large = 0;
    for (const auto& [name, shards] : FirstLenders(Fleet(c.large, c.small))) {
      at_large += name.rfind("large", 0) == 0 ? shards : 0;
    }
    CHECK_TEXT(at_large * 100 >= kShards * c.least_percent &&
                   at_large * 100 <= kShards * c.most_percent,
               (c.name + (": " + std::to_string(at_large))).c_str());
  }
}

TEST(LenderRanking, SpreadsShardsOverEqualVms) {
  for (const auto& [name, shards] : FirstLenders(Fleet(10, 0))) {
    CHECK_TEXT(shards > kShards / 20 && shards < kShards / 5, name.c_str());
  }
}

TEST(LenderRanking, DoesNotDependOnTheOrderOfTheList) {
  const std::vector<Peer> routers = Fleet(6, 24);
  std::vector<Peer> reversed(routers.rbegin(), routers.rend());
  for (size_t shard = 0; shard < kShards; ++shard) {
    CHECK(RankLenders(shard, routers, kLenders) ==
          RankLenders(shard, reversed, kLenders));
  }
}

TEST(LenderRanking, ARouterThatLeavesMovesOnlyItsShards) {
  const std::vector<Peer> routers = Fleet(6, 24);
  const std::vector<Peer> rest(routers.begin() + 1, routers.end());
  for (size_t shard = 0; shard < kShards; ++shard) {
    std::vector<Peer> before = RankLenders(shard, routers, kLenders + 1);
    before.erase(std::remove(before.begin(), before.end(), routers.front()),
                 before.end());
    before.resize(kLenders);
    CHECK(before == RankLenders(shard, rest, kLenders));
  }
}

TEST(LenderRanking, ReturnsAtMostAllRouters) {
  CHECK_EQUAL(2, RankLenders(0, Fleet(1, 1), kLenders).size());
  CHECK(RankLenders(0, {}, kLenders).empty());
}
