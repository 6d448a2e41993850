#include "guard/connection_places.h"

#include <algorithm>
#include <map>
#include <optional>
#include <vector>

#include <rapidcheck.h>

#include <CppUTest/TestHarness.h>

using godwit::guard::ConnectionPhase;
using godwit::guard::ConnectionPlaces;
using godwit::guard::kConnectionPhases;
using Id = ConnectionPlaces::Id;
using Phase = ConnectionPhase;

TEST_GROUP(ConnectionPlaces){};

TEST(ConnectionPlaces, GivesWayByPhaseThenByAge) {
  struct Case {
    const char* name;
    // Of the connections 1, 2, ..., in the order in which they enter them.
    std::vector<std::pair<Id, Phase>> entered;
    std::optional<Id> to_close;
  };
  const std::vector<Case> cases = {
      {"the first without a request", {}, 1},
      {"all served",
       {{1, Phase::kServed}, {2, Phase::kServed}, {3, Phase::kServed}},
       std::nullopt},
      {"without a request before idle after one",
       {{1, Phase::kServed}, {1, Phase::kIdle}, {2, Phase::kServed}},
       3},
      {"idle before a body that arrives",
       {{1, Phase::kReceivingBody}, {2, Phase::kServed}, {3, Phase::kIdle}},
       3},
      {"idle for longest",
       {{3, Phase::kIdle}, {1, Phase::kIdle}, {2, Phase::kIdle}},
       3},
      {"a body before an unread answer",
       {{1, Phase::kUnread}, {2, Phase::kReceivingBody}, {3, Phase::kServed}},
       2},
      {"an unread answer before one that is read",
       {{1, Phase::kServed}, {2, Phase::kUnread}, {3, Phase::kServed}},
       2},
      {"closing before all others", {{3, Phase::kClosing}}, 3},
      {"entering a phase again changes nothing",
       {{1, Phase::kReceivingHead}},
       1},
  };
  for (const Case& c : cases) {
    ConnectionPlaces places;
    for (int i = 0; i < 3; ++i) {
      places.Add();
    }
    for (const auto& [id, phase] : c.entered) {
      places.Enter(id, phase);
    }
    CHECK_TEXT(c.to_close == places.ToClose(), c.name);
  }
}

TEST(ConnectionPlaces, RenewedConnectionGivesWayLast) {
  ConnectionPlaces places;
  places.Add();
  places.Add();
  places.Renew(1);
  CHECK(places.ToClose() == std::optional<Id>(2));
  places.Remove(2);
  CHECK(places.ToClose() == std::optional<Id>(1));
  places.Remove(1);
  CHECK(places.ToClose() == std::nullopt);
  CHECK_EQUAL(0, places.size());
}

// Differential test against a list that is searched.
TEST(ConnectionPlaces, AgreesWithANaiveVersion) {
  struct Entered {
    Phase phase;
    int at;
  };
  const auto agrees = [] {
    ConnectionPlaces places;
    std::map<Id, Entered> naive;
    int now = 0;
    const auto steps = *rc::gen::container<std::vector<std::pair<int, int>>>(
        rc::gen::pair(rc::gen::inRange(0, 12), rc::gen::inRange(0, 20)));
    for (const auto& [kind, argument] : steps) {
      ++now;
      const auto id = static_cast<Id>(argument);
      const auto found = naive.find(id);
      if (kind < 3) {
        naive[places.Add()] = {Phase::kReceivingHead, now};
      } else if (kind == 3) {
        places.Remove(id);
        naive.erase(id);
      } else if (kind == 4) {
        places.Renew(id);
        if (found != naive.end()) {
          found->second.at = now;
        }
      } else {
        const auto phase =
            static_cast<Phase>(static_cast<size_t>(kind) % kConnectionPhases);
        places.Enter(id, phase);
        if (found != naive.end() && found->second.phase != phase) {
          found->second = {phase, now};
        }
      }
      const auto first = std::min_element(
          naive.begin(), naive.end(), [](const auto& a, const auto& b) {
            return std::pair(a.second.phase, a.second.at) <
                   std::pair(b.second.phase, b.second.at);
          });
      const bool none =
          first == naive.end() || first->second.phase == Phase::kServed;
      RC_ASSERT(places.ToClose() ==
                (none ? std::nullopt : std::optional<Id>(first->first)));
      RC_ASSERT(places.size() == naive.size());
    }
  };
  CHECK(rc::check(agrees));
}
