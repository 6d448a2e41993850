#include "promise_keeper.h"

#include <optional>

#include <CppUTest/TestHarness.h>

using godwit::base::BudgetId;
using godwit::base::Incarnation;
using godwit::base::Millis;
using godwit::base::ProcessId;
using godwit::ledger::MeteredPolicy;
using godwit::ledger::PromiseKeeper;
using godwit::ledger::SpendPromise;
using godwit::platform::KvReadDone;
using godwit::platform::KvWriteDone;
using godwit::platform::WriteOutcome;

namespace {

const ProcessId kProcess("edge-1");
const Incarnation kSelf("edge-1.1");
const BudgetId kBudget("kiosks");

SpendPromise Promise(int64_t most) {
  SpendPromise promise;
  promise.most[kBudget] = most;
  return promise;
}

KvReadDone Found(int64_t operation, int64_t version, const std::string& value) {
  KvReadDone done;
  done.operation = operation;
  done.available = true;
  done.version = version;
  done.value = value;
  return done;
}

}  // namespace

TEST_GROUP(PromiseKeeper) {
  const MeteredPolicy policy{};
  PromiseKeeper keeper{kProcess, kSelf, policy};
  const Millis first{10'000};

  // A promise that took effect.
  void setup() override {
    keeper.Read(first, 1);
    keeper.Finish(first, Found(1, 0, ""));
    keeper.Write(first, 2, true, Promise(100));
    KvWriteDone done;
    done.operation = 2;
    done.outcome = WriteOutcome::kWon;
    done.version = 5;
    keeper.Finish(first, done);
  }
};

TEST(PromiseKeeper, BindsUntilItsTimeIsOver) {
  CHECK(!keeper.IsOnItsOwn(first + policy.promise_time - Millis(1)));
  CHECK(keeper.IsOnItsOwn(first + policy.promise_time));
}

TEST(PromiseKeeper, AWriteThatWasGivenUpBindsFromItsOwnTime) {
  // A later life may find the write, whose answer a pause of this one hid.
  const Millis second = first + Millis(700);
  const auto write = keeper.Write(second, 3, true, Promise(200));
  CHECK(write.has_value());
  const Millis resumed = second + policy.operation_limit;
  CHECK(keeper.Read(resumed, 4).has_value());
  keeper.Finish(resumed, Found(4, 6, write->value));
  CHECK_EQUAL(200, keeper.Promised(kBudget));
  CHECK(!keeper.IsOnItsOwn(second + policy.promise_time - Millis(1)));
  CHECK(keeper.IsOnItsOwn(second + policy.promise_time));
}
