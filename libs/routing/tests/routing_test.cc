#include <string>
#include <utility>
#include <variant>
#include <vector>

#include "routing/picker.h"
#include "routing/prefix_blocks.h"
#include "routing/retry_budget.h"

#include <CppUTest/TestHarness.h>

using godwit::base::AttemptId;
using godwit::base::DataCentreId;
using godwit::base::ErrorKind;
using godwit::base::Incarnation;
using godwit::base::Millis;
using godwit::base::Seconds;
using godwit::base::ServiceId;
using godwit::routing::Candidate;
using godwit::routing::Pick;
using godwit::routing::PickedAgent;
using godwit::routing::Picker;
using godwit::routing::PickerSettings;
using godwit::routing::PickRefusal;
using godwit::routing::PickRequest;
using godwit::routing::PrefixBlocks;
using godwit::routing::RetryBudget;

namespace {

constexpr int64_t kMaxRunning = 8;

std::vector<Candidate> Agents(int count) {
  std::vector<Candidate> agents;
  agents.reserve(static_cast<size_t>(count));
  for (int i = 0; i < count; ++i) {
    agents.push_back(Candidate{Incarnation("agent-" + std::to_string(i)),
                               DataCentreId("a"), kMaxRunning});
  }
  return agents;
}

// Drives a picker with attempts of a given latency.
class Driver {
 public:
  explicit Driver(int agents) : candidates(Agents(agents)) {}

  Pick Choose(const PickRequest& request = PickRequest()) {
    return picker.Choose(now, request, candidates);
  }

  AttemptId Start(const Incarnation& agent,
                  const PickRequest& request = PickRequest()) {
    AttemptId attempt("attempt-" + std::to_string(next_++));
    picker.OnStarted(now, attempt, agent, request);
    return attempt;
  }

  // Runs one complete attempt at an otherwise idle agent.
  void Serve(const Incarnation& agent, int64_t latency_ms) {
    const AttemptId attempt = Start(agent);
    now = now + Millis(latency_ms);
    picker.OnFirstToken(now, attempt);
    picker.OnEnded(now, attempt);
  }

  // Number of picks out of 1000 that each agent receives.
  std::vector<int> Distribution() {
    std::vector<int> distribution(candidates.size());
    for (int i = 0; i < 1000; ++i) {
      const Pick pick = Choose();
      for (size_t k = 0; k < candidates.size(); ++k) {
        distribution[k] +=
            std::get<PickedAgent>(pick).agent == candidates[k].agent ? 1 : 0;
      }
    }
    return distribution;
  }

  const Incarnation& agent(size_t i) const { return candidates[i].agent; }

  std::vector<Candidate> candidates;
  Picker picker{PickerSettings{DataCentreId("a")}, std::mt19937_64(1)};
  Millis now;

 private:
  int64_t next_ = 0;
};

PickRequest WithPrompt(const std::string& prompt) {
  PickRequest request;
  request.prefix_blocks = PrefixBlocks(ServiceId("chat"), prompt);
  request.prompt_tokens = static_cast<int64_t>(prompt.size() / 4);
  return request;
}

}  // namespace

TEST_GROUP(Picker){};

TEST(Picker, RefusesWithoutCandidates) {
  struct Case {
    int agents;
    std::vector<int> exclude;
  };
  const std::vector<Case> cases = {{0, {}}, {1, {0}}, {2, {0, 1}}};
  for (const Case& c : cases) {
    Driver driver(c.agents);
    PickRequest request;
    for (int i : c.exclude) {
      request.exclude.push_back(driver.agent(static_cast<size_t>(i)));
    }
    const auto refusal = std::get<PickRefusal>(driver.Choose(request));
    CHECK(refusal.kind == ErrorKind::kUnavailable);
    CHECK(refusal.retry_after > Millis(0));
  }
}

TEST(Picker, PrefersTheLessLoadedOfTwo) {
  Driver driver(2);
  driver.Serve(driver.agent(0), 100);
  driver.Serve(driver.agent(1), 100);
  for (int i = 0; i < 4; ++i) {
    driver.Start(driver.agent(0));
  }
  // The loaded agent is picked only if both choices fall on it.
  const auto distribution = driver.Distribution();
  CHECK(distribution[0] < 350);
  CHECK(distribution[0] > 150);
}

TEST(Picker, IgnoresExpiredLoadReports) {
  struct Case {
    int64_t age_ms;
    bool counts;
  };
  for (const Case& c :
       std::vector<Case>{{0, true}, {9999, true}, {10000, false}}) {
    Driver driver(2);
    driver.Serve(driver.agent(0), 100);
    driver.Serve(driver.agent(1), 100);
    driver.Start(driver.agent(0));
    driver.Start(driver.agent(1));
    driver.picker.OnLoad(driver.now, driver.agent(0), 6, 0);
    driver.now = driver.now + Millis(c.age_ms);
    const bool avoids = driver.Distribution()[0] < 350;
    CHECK_EQUAL(c.counts, avoids);
  }
}

TEST(Picker, AppliesPrefixAffinityUntilTheAgentIsLoaded) {
  Driver driver(4);
  for (size_t i = 0; i < 4; ++i) {
    driver.Serve(driver.agent(i), 100);
  }
  const PickRequest request = WithPrompt(std::string(4096, 'x'));
  driver.Start(driver.agent(2), request);
  for (int i = 0; i < 100; ++i) {
    const auto pick = std::get<PickedAgent>(driver.Choose(request));
    CHECK(pick.agent == driver.agent(2));
    LONGS_EQUAL(16, pick.cached_blocks);
  }
  for (int i = 0; i < 4; ++i) {
    driver.Start(driver.agent(2), request);
  }
  int followed = 0;
  for (int i = 0; i < 100; ++i) {
    const auto pick = std::get<PickedAgent>(driver.Choose(request));
    followed += pick.agent == driver.agent(2) ? 1 : 0;
  }
  CHECK(followed < 100);
}

TEST(Picker, RefusesWhenNoAgentMeetsTheDeadline) {
  struct Case {
    int64_t deadline_ms;
    bool served;
  };
  for (const Case& c : std::vector<Case>{{150, false}, {5000, true}}) {
    Driver driver(2);
    driver.Serve(driver.agent(0), 100);
    driver.Serve(driver.agent(1), 100);
    driver.Start(driver.agent(0));
    driver.Start(driver.agent(1));
    PickRequest request;
    request.deadline_in = Millis(c.deadline_ms);
    const Pick pick = driver.Choose(request);
    CHECK_EQUAL(c.served, std::holds_alternative<PickedAgent>(pick));
    if (!c.served) {
      const auto refusal = std::get<PickRefusal>(pick);
      CHECK(refusal.kind == ErrorKind::kOverloaded);
      CHECK(refusal.retry_after > Millis(0));
    }
  }
}

TEST(Picker, EjectsAfterConsecutiveFailuresAndReadmits) {
  Driver driver(3);
  for (int i = 0; i < 3; ++i) {
    CHECK_FALSE(driver.picker.ejected(driver.now, driver.agent(0)));
    driver.picker.OnFailed(driver.now, driver.Start(driver.agent(0)));
  }
  CHECK(driver.picker.ejected(driver.now, driver.agent(0)));
  LONGS_EQUAL(0, driver.Distribution()[0]);
  driver.now = driver.now + Seconds(5);
  CHECK_FALSE(driver.picker.ejected(driver.now, driver.agent(0)));
}

TEST(Picker, EjectsASlowAgentAndRampsItUp) {
  Driver driver(4);
  for (int i = 0; i < 10; ++i) {
    for (size_t k = 0; k < 4; ++k) {
      driver.Serve(driver.agent(k), k == 3 ? 1000 : 100);
    }
  }
  LONGS_EQUAL(0, driver.Distribution()[3]);
  CHECK(driver.picker.ejected(driver.now, driver.agent(3)));
  driver.now = driver.now + Seconds(6);
  const int early = driver.Distribution()[3];
  driver.now = driver.now + Seconds(10);
  const int late = driver.Distribution()[3];
  CHECK(early > 0);
  CHECK(early < 150);
  CHECK(late > 150);
}

TEST(Picker, UsesEjectedAgentsWhenMostAreEjected) {
  Driver driver(2);
  for (size_t k = 0; k < 2; ++k) {
    for (int i = 0; i < 3; ++i) {
      driver.picker.OnFailed(driver.now, driver.Start(driver.agent(k)));
    }
  }
  CHECK(std::holds_alternative<PickedAgent>(driver.Choose()));
}

TEST(Picker, PrefersItsDataCentreAtEqualLoad) {
  Driver driver(2);
  driver.Serve(driver.agent(0), 100);
  driver.Serve(driver.agent(1), 100);
  driver.candidates[1].data_centre = DataCentreId("b");
  CHECK(driver.Distribution()[0] > 650);
}

TEST(Picker, CountsEachAttemptOnce) {
  Driver driver(1);
  const AttemptId attempt = driver.Start(driver.agent(0));
  LONGS_EQUAL(1, driver.picker.in_flight(driver.agent(0)));
  driver.picker.OnFirstToken(driver.now, attempt);
  driver.picker.OnEnded(driver.now, attempt);
  driver.picker.OnFailed(driver.now, attempt);
  LONGS_EQUAL(0, driver.picker.in_flight(driver.agent(0)));
}

TEST(Picker, IgnoresEventsOfAttemptsAtAForgottenAgent) {
  Driver driver(2);
  const AttemptId ended = driver.Start(driver.agent(0));
  const AttemptId failed = driver.Start(driver.agent(0));
  driver.picker.RemoveAgent(driver.agent(0));
  driver.picker.OnFirstToken(driver.now, ended);
  driver.picker.OnEnded(driver.now, ended);
  driver.picker.OnFailed(driver.now, failed);
  LONGS_EQUAL(0, driver.picker.in_flight(driver.agent(0)));
  CHECK(std::holds_alternative<PickedAgent>(driver.Choose()));
}

TEST(Picker, RoutersAgreeOnTheAgentOfANewPrefix) {
  Driver one(8);
  Driver other(8);
  other.picker = Picker(PickerSettings(), std::mt19937_64(99));
  for (int i = 0; i < 20; ++i) {
    const PickRequest request = WithPrompt(std::string(8192, 'a' + i));
    const auto first = std::get<PickedAgent>(one.Choose(request));
    const auto second = std::get<PickedAgent>(other.Choose(request));
    CHECK(first.agent == second.agent);
  }
}

TEST_GROUP(PrefixBlocks){};

TEST(PrefixBlocks, AgreeUpToTheFirstDifference) {
  const std::string common(512, 'a');
  const auto one = PrefixBlocks(ServiceId("s"), common + std::string(256, 'b'));
  const auto two = PrefixBlocks(ServiceId("s"), common + std::string(300, 'c'));
  const auto other = PrefixBlocks(ServiceId("t"), common);
  LONGS_EQUAL(3, one.size());
  LONGS_EQUAL(3, two.size());
  CHECK(one[1] == two[1]);
  CHECK(one[2] != two[2]);
  CHECK(one[0] != other[0]);
  LONGS_EQUAL(0, PrefixBlocks(ServiceId("s"), "short").size());
  LONGS_EQUAL(64, PrefixBlocks(ServiceId("s"), std::string(99999, 'a')).size());
}

TEST_GROUP(RetryBudget){};

TEST(RetryBudget, AllowsAShareOfRequests) {
  RetryBudget budget(0.1, 2);
  CHECK(budget.TryRetry());
  CHECK(budget.TryRetry());
  CHECK_FALSE(budget.TryRetry());
  int retries = 0;
  for (int i = 0; i < 1000; ++i) {
    budget.OnRequest();
    retries += budget.TryRetry() ? 1 : 0;
  }
  CHECK(retries >= 99);
  CHECK(retries <= 100);
}
