#include "promise_manager.h"

#include <cstdint>
#include <cstdlib>
#include <optional>
#include <string>
#include <vector>

#include <nlohmann/json.hpp>

#include <CppUTest/TestHarness.h>

using godwit::base::BudgetId;
using godwit::base::Incarnation;
using godwit::base::Millis;
using godwit::base::ProcessId;
using godwit::ledger::CountedTokens;
using godwit::ledger::MeteredPolicy;
using godwit::ledger::PromiseManager;
using godwit::ledger::SpendPromise;
using godwit::platform::KvReadDone;
using godwit::platform::KvVersion;
using godwit::platform::KvWriteDone;
using godwit::platform::WriteOutcome;

namespace {

const ProcessId kProcess("edge-1");
const Incarnation kSelf("edge-1.1");
const BudgetId kBudget("kiosks");

SpendPromise Promise(int64_t initial) {
  SpendPromise promise;
  promise.allowances[kBudget] = {initial, 1000, 1000, 2000};
  promise.clock_offset = Millis(5'000);
  promise.fleet_time = Millis(15'000);
  return promise;
}

KvReadDone MakeReadDone(int64_t operation,
                        int64_t version,
                        const std::string& value) {
  KvReadDone done;
  done.operation = operation;
  done.available = true;
  done.version = KvVersion(version);
  done.value = value;
  return done;
}

}  // namespace

TEST_GROUP(PromiseManager) {
  const MeteredPolicy policy{};
  PromiseManager manager{kProcess, kSelf, policy};
  const Millis first{10'000};

  // Writes a promise that takes effect.
  void setup() override {
    manager.Read(first, 1);
    manager.Finish(first, MakeReadDone(1, 0, ""));
    manager.Write(first, 2, policy.min_write_interval, Promise(100));
    KvWriteDone done;
    done.operation = 2;
    done.outcome = WriteOutcome::kWon;
    done.version = KvVersion(5);
    manager.Finish(first, done);
  }
};

TEST(PromiseManager, ExplainsWhatCountsOfAnEarlierGrant) {
  SpendPromise promise = Promise(1000);
  promise.holder = Incarnation("edge-1.0");
  promise.uses[kBudget] = {500, 200, 100};
  PromiseManager next(kProcess, kSelf, policy);
  next.Read(first, 1);
  next.Finish(first, MakeReadDone(
                         1, 5, godwit::ledger::PromiseCodec().Encode(promise)));
  struct Case {
    bool is_bounded;
    int64_t billed;
    int64_t counted;
    CountedTokens expected;
  };
  for (const Case& c : {Case{true, 400, 1300, {500, 200, 100, 200, 300, 0}},
                        // What was billed later is known to be used.
                        Case{true, 700, 1300, {700, 200, 100, 200, 100, 0}},
                        // The grant is smaller than what the promise allows.
                        Case{true, 400, 750, {500, 200, 50, 0, 0, 0}},
                        Case{false, 400, 1300, {400, 0, 0, 0, 0, 900}}}) {
    const CountedTokens parts =
        next.Explain(kBudget, c.is_bounded, c.billed, c.counted);
    CHECK(c.expected == parts);
    CHECK_EQUAL(c.counted, parts.Sum());
  }
}

TEST(PromiseManager, AllowsMoreAsTimePasses) {
  CHECK_EQUAL(100, manager.Promised(first, kBudget));
  CHECK_EQUAL(600, manager.Promised(first + Millis(500), kBudget));
  CHECK_EQUAL(100, manager.Promised(first - Millis(500), kBudget));
  CHECK_EQUAL(5100, manager.Promised(first + Millis(5000), kBudget));
  CHECK_EQUAL(7100, manager.Promised(first + Millis(6000), kBudget));
  CHECK_EQUAL(0, manager.Promised(first, BudgetId("vans")));
}

TEST(PromiseManager, AllowancesGrowFasterTheLongerAnOutageLasts) {
  using godwit::ledger::SpendAllowance;
  const SpendAllowance allowance{100, 1000, 2000, 3000};
  const Millis faster = SpendAllowance::kFasterAfter;
  const Millis fastest = SpendAllowance::kFastestAfter;
  CHECK_EQUAL(100 + faster.count(), allowance.At(faster));
  CHECK_EQUAL(allowance.At(faster) + 2 * (fastest - faster).count(),
              allowance.At(fastest));
  CHECK_EQUAL(allowance.At(fastest) + 3000,
              allowance.At(fastest + Millis(1000)));
}

TEST(PromiseManager, KeepsToEachVersionThatMayBeStored) {
  // A later incarnation may find the write, whose answer this one missed during
  // a pause, or the version before.
  const Millis second = first + Millis(700);
  const auto write =
      manager.Write(second, 3, policy.min_write_interval, Promise(2000));
  CHECK(write.has_value());
  CHECK_EQUAL(800, manager.Promised(second, kBudget));
  const Millis resumed = second + policy.operation_timeout;
  CHECK(manager.Read(resumed, 4).has_value());
  CHECK_EQUAL(2800, manager.Promised(resumed, kBudget));
  manager.Finish(resumed, MakeReadDone(4, 6, write->value));
  CHECK_EQUAL(4000, manager.Promised(resumed, kBudget));
}

TEST(PromiseManager, KeepsItsPromiseInANewEraUntilTheNextOne) {
  manager.SetEra(2);
  CHECK_EQUAL(600, manager.Promised(first + Millis(500), kBudget));
  // The copy has an older promise, or none.
  const Millis second = first + Millis(600);
  CHECK(manager.Read(second, 3).has_value());
  manager.Finish(second, MakeReadDone(3, 0, ""));
  CHECK_EQUAL(700, manager.Promised(second, kBudget));
  const auto write =
      manager.Write(second, 4, policy.min_write_interval, Promise(50));
  CHECK(write.has_value());
  // Both may be found stored.
  CHECK_EQUAL(50, manager.Promised(second, kBudget));
  KvWriteDone done;
  done.operation = 4;
  done.outcome = WriteOutcome::kWon;
  done.version = KvVersion(2, 1);
  manager.Finish(second, done);
  CHECK_EQUAL(50, manager.Promised(second, kBudget));
}

TEST(PromiseManager, DoesNotBelieveAPromiseOfAnEarlierEra) {
  for (const bool has_returned : {false, true}) {
    PromiseManager later{kProcess, Incarnation("edge-1.8"), policy};
    later.SetEra(1);
    later.Read(first, 1);
    SpendPromise promise = Promise(100);
    promise.holder = kSelf;
    promise.clock = first;
    promise.era = has_returned ? 0 : 1;
    later.Finish(
        first,
        MakeReadDone(1, 5, godwit::ledger::PromiseCodec().Encode(promise)));
    CHECK_EQUAL(!has_returned,
                later.MaxSpentBy(kSelf, kBudget, Millis(10)).has_value());
  }
}

// Guards against a grant that counts in full although its holder had ended, and
// its last promise was read, before the KV returned.
TEST(PromiseManager, BelievesAPromiseThatItReadBeforeAReturn) {
  struct Case {
    const char* name;
    int64_t read_in;
    int64_t written_in;
    int64_t now;
    bool is_believed;
    // Whether the ledger may lack a grant that the promise states.
    bool may_be_lost;
  };
  const std::vector<Case> cases = {
      {"no return", 1, 1, 1, true, false},
      {"read before a return", 1, 1, 2, true, true},
      {"read before two returns", 1, 1, 3, true, true},
      {"read after a return", 2, 1, 2, false, false},
      {"read between returns", 2, 1, 3, false, false},
  };
  for (const Case& c : cases) {
    PromiseManager later{kProcess, Incarnation("edge-1.8"), policy};
    later.SetEra(c.read_in);
    later.Read(first, 1);
    SpendPromise promise = Promise(100);
    promise.holder = kSelf;
    promise.clock = first;
    promise.era = c.written_in;
    promise.granted[kBudget] = {500, 3};
    later.Finish(
        first,
        MakeReadDone(1, 5, godwit::ledger::PromiseCodec().Encode(promise)));
    if (c.now != c.read_in) {
      later.SetEra(c.now);
    }
    CHECK_EQUAL_TEXT(c.is_believed,
                     later.MaxSpentBy(kSelf, kBudget, Millis(10)).has_value(),
                     c.name);
    CHECK_EQUAL_TEXT(c.now != c.read_in, later.MayHaveLostDraws(), c.name);
    const auto holder = later.HolderOfLostGrant(kBudget);
    CHECK_EQUAL_TEXT(c.may_be_lost, holder.has_value(), c.name);
    CHECK_TEXT(!holder || *holder == kSelf, c.name);
    const godwit::ledger::GrantBound bound = {500, 3};
    CHECK_TEXT(later.GrantedTo(kSelf, kBudget) == bound, c.name);
    CHECK_TEXT(later.GrantedTo(Incarnation("edge-1.0"), kBudget) ==
                   godwit::ledger::GrantBound(),
               c.name);
  }
}

TEST(PromiseManager, BoundsTheLifetimeOfTheEarlierIncarnation) {
  struct Case {
    const char* name;
    int64_t started_at_ms;
    int64_t clock_offset_ms;
    std::optional<Millis> fleet_offset;
    bool is_decided;
    std::optional<int64_t> at_most_ms;
  };
  const int64_t skew = policy.clock_skew.count();
  const std::vector<Case> cases = {
      {"the same VM", 12'000, 5'000, std::nullopt, true, 2'000},
      {"the same VM, its wall clock jumped", 12'000, 4'000, Millis(5'000), true,
       2'000 + skew},
      {"a restarted VM", 400, 17'000, Millis(17'000), true, 2'400 + skew},
      {"a restarted VM whose wall clock is wrong", 400, 9'000, Millis(17'000),
       true, 2'400 + skew},
      {"a restarted VM that heard of no other router yet", 400, 17'000,
       std::nullopt, false, std::nullopt},
      {"fleet time ran backwards", 400, 17'000, Millis(9'000), true,
       std::nullopt},
  };
  // The promise that this manager wrote is the earlier one of the next.
  const auto bytes =
      manager.Write(first + Millis(1), 9, Millis(0), Promise(100))->value;
  for (const Case& c : cases) {
    PromiseManager next(kProcess, Incarnation("edge-1.2"), policy);
    next.Read(Millis(c.started_at_ms), 1);
    next.Finish(Millis(c.started_at_ms), MakeReadDone(1, 6, bytes));
    const auto lifetime =
        next.EarlierLifetime({Millis(c.started_at_ms) + Millis(1),
                              Millis(c.clock_offset_ms),
                              c.fleet_offset,
                              {},
                              Millis(0)});
    CHECK_EQUAL_TEXT(c.is_decided, lifetime.is_decided, c.name);
    CHECK_EQUAL_TEXT(c.at_most_ms.has_value(), lifetime.at_most.has_value(),
                     c.name);
    if (!lifetime.at_most) {
      continue;
    }
    // The wall clock of the promise was one millisecond ahead of its start.
    CHECK_TEXT(std::abs(*c.at_most_ms - lifetime.at_most->count()) <= 1,
               c.name);
    CHECK_EQUAL_TEXT(100 + lifetime.at_most->count(),
                     *next.MaxSpentBy(kSelf, kBudget, *lifetime.at_most),
                     c.name);
    CHECK_TEXT(!next.MaxSpentBy(Incarnation("edge-1.0"), kBudget, Millis(0)),
               c.name);
  }
}

// Guards against a decision before enough clocks are known, and against one
// that waits for a router that does not answer.
TEST(PromiseManager, ComparesTheClocksThatAPromiseStates) {
  struct Case {
    const char* name;
    int64_t asked_for_ms;
    // Of three routers, at the start; the promise states 50,000 for each.
    std::vector<int64_t> clocks_ms;
    bool is_decided;
    std::optional<int64_t> at_most_ms;
  };
  const int64_t answer_wait = policy.clock_answer_wait.count();
  const int64_t quorum_wait = policy.clock_quorum_wait.count();
  const int64_t by_fleet_time = 2'400 + policy.clock_skew.count();
  const std::vector<Case> cases = {
      {"nobody answered yet", 0, {}, false, std::nullopt},
      {"one answered", quorum_wait - 1, {52'000}, false, std::nullopt},
      {"nobody answers", quorum_wait, {}, true, by_fleet_time},
      {"two answered", answer_wait - 1, {52'000, 52'100}, false, 2'107},
      {"the third does not answer", answer_wait, {52'000, 52'100}, true, 2'107},
      {"all answered", 0, {52'000, 52'100, 90'000}, true, 2'107},
      {"two ran backwards", 0, {49'000, 49'000, 52'000}, true, std::nullopt}};
  SpendPromise promise = Promise(100);
  for (const char* router : {"a", "b", "c"}) {
    promise.wall_clocks[ProcessId(router)] = Millis(50'000);
  }
  const auto bytes =
      manager.Write(first + Millis(1), 9, Millis(0), promise)->value;
  for (const Case& c : cases) {
    PromiseManager next(kProcess, Incarnation("edge-1.2"), policy);
    next.Read(Millis(400), 1);
    next.Finish(Millis(400), MakeReadDone(1, 6, bytes));
    CHECK(next.EarlierClocks() == promise.wall_clocks);
    PromiseManager::Start start{Millis(400),
                                Millis(17'000),
                                Millis(17'000),
                                {},
                                Millis(c.asked_for_ms)};
    for (size_t i = 0; i < c.clocks_ms.size(); ++i) {
      const std::string router(1, static_cast<char>('a' + i));
      start.wall_clocks[ProcessId(router)] = Millis(c.clocks_ms[i]);
    }
    const auto lifetime = next.EarlierLifetime(start);
    CHECK_EQUAL_TEXT(c.is_decided, lifetime.is_decided, c.name);
    CHECK_EQUAL_TEXT(c.at_most_ms.has_value(), lifetime.at_most.has_value(),
                     c.name);
    CHECK_EQUAL_TEXT(c.at_most_ms.value_or(0),
                     lifetime.at_most.value_or(Millis(0)).count(), c.name);
  }
}

TEST(PromiseManager, AnEarlierFormatTellsNothing) {
  std::string bytes;
  nlohmann::json::to_cbor({{"holder", kSelf.value()},
                           {"clock", 1},
                           {"clock_offset", 2},
                           {"most", {{"kiosks", 3}}}},
                          bytes);
  PromiseManager next(kProcess, Incarnation("edge-1.2"), policy);
  next.Read(first, 1);
  next.Finish(first, MakeReadDone(1, 6, bytes));
  CHECK(next.known());
  CHECK(!next.MaxSpentBy(kSelf, kBudget, Millis(0)));
  CHECK(!next.EarlierLifetime({first, Millis(2), std::nullopt, {}, Millis(0)})
             .at_most);
}
