#include "era_marker.h"

#include <cstdint>
#include <string>
#include <variant>
#include <vector>

#include "support/fake_kv.h"

#include <CppUTest/TestHarness.h>

using godwit::base::Millis;
using godwit::ledger::EraMarker;
using godwit::ledger::MeteredPolicy;
using godwit::platform::KvVersion;
using godwit::platform::KvWrite;
using godwit::platform::KvWriteDone;
using godwit::platform::WriteOutcome;
using godwit::support::FakeKv;

namespace {

constexpr char kKey[] = "ledger/0";
constexpr int kMarkerClient = 1;
constexpr int kWriter = 2;
constexpr Millis kStep(5);

}  // namespace

TEST_GROUP(EraMarker) {
  FakeKv kv{1};
  const MeteredPolicy policy{};
  EraMarker marker{policy};
  Millis now{1000};
  int64_t next_operation = 1;
  KvWriteDone last_write;

  void setup() override {
    kv.BeginEras();
    Create();
  }

  void Advance() {
    now = now + kStep;
    for (const FakeKv::Answer& answer : kv.Advance(now)) {
      if (answer.client == kWriter) {
        last_write = std::get<KvWriteDone>(answer.done);
        continue;
      }
      std::visit([this](const auto& done) { marker.Finish(now, done); },
                 answer.done);
    }
  }

  // Lets the marker create the key of the KV's era.
  void Create() {
    marker.Begin(kv.era());
    for (int i = 0; i < 200 && !marker.exists(); ++i) {
      if (const auto operation = marker.Next(now, next_operation)) {
        ++next_operation;
        std::visit([this](const auto& o) { kv.Submit(now, kMarkerClient, o); },
                   *operation);
      }
      Advance();
    }
    CHECK(marker.exists());
  }

  // A write that expects a value of the key and obeys the marker.
  KvWrite Write(int64_t expected_revision) const {
    KvWrite write;
    write.key = kKey;
    write.expected_version = KvVersion(kv.era(), expected_revision);
    write.conditions = marker.Conditions();
    return write;
  }

  WriteOutcome OutcomeOf(const KvWrite& write) {
    kv.Submit(now, kWriter, write);
    for (int i = 0; i < 10; ++i) {
      Advance();
    }
    return last_write.outcome;
  }
};

TEST(EraMarker, NeedsNoKeyForAKvWithoutEras) {
  EraMarker none(policy);
  CHECK(none.exists());
  CHECK(!none.Next(now, 1));
  CHECK_EQUAL(1, none.Conditions().size());
}

TEST(EraMarker, KeepsOutWritesOfEarlierEras) {
  struct Case {
    const char* name;
    // Age of the copy at each return, and whether a router creates the key of
    // the era in between.
    std::vector<int64_t> ages_ms;
    bool creates_between;
  };
  const std::vector<Case> cases = {
      {"the key of the era is in the copy", {100}, true},
      {"the key of the era is lost", {100'000}, true},
      {"twice", {100, 100}, true},
      {"twice, to the same copy", {100, 100'000}, true},
      {"twice, the first time unseen", {100, 100}, false},
  };
  for (const Case& c : cases) {
    teardown();
    kv = FakeKv(1);
    setup();
    kv.Put(kKey, "a");
    for (int i = 0; i < 100; ++i) {
      Advance();
    }
    const KvWrite stale = Write(1);
    CHECK_TEXT(OutcomeOf(Write(1)) == WriteOutcome::kWon, c.name);
    for (const int64_t age_ms : c.ages_ms) {
      kv.ReturnFromCopy(Millis(age_ms));
      if (c.creates_between) {
        Create();
      }
    }
    Create();
    // Its revision is given out again.
    while (kv.stored().count(kKey) == 0) {
      kv.Put(kKey, "b");
    }
    CHECK_EQUAL_TEXT(1, kv.stored().at(kKey).version, c.name);
    CHECK_TEXT(OutcomeOf(stale) == WriteOutcome::kLost, c.name);
    CHECK_TEXT(OutcomeOf(Write(1)) == WriteOutcome::kWon, c.name);
  }
}
