#include "promise_manager.h"

#include <optional>

#include <CppUTest/TestHarness.h>

using godwit::base::BudgetId;
using godwit::base::Incarnation;
using godwit::base::Millis;
using godwit::base::ProcessId;
using godwit::ledger::MeteredPolicy;
using godwit::ledger::PromiseManager;
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

KvReadDone MakeReadDone(int64_t operation,
                        int64_t version,
                        const std::string& value) {
  KvReadDone done;
  done.operation = operation;
  done.available = true;
  done.version = version;
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
    manager.Write(first, 2, true, Promise(100));
    KvWriteDone done;
    done.operation = 2;
    done.outcome = WriteOutcome::kWon;
    done.version = 5;
    manager.Finish(first, done);
  }
};

TEST(PromiseManager, ExpiresAfterThePromiseDuration) {
  CHECK(!manager.IsExpired(first + policy.promise_duration - Millis(1)));
  CHECK(manager.IsExpired(first + policy.promise_duration));
}

TEST(PromiseManager, AnAbandonedWriteExpiresFromItsOwnTime) {
  // A later incarnation may find the write, whose answer this one missed during
  // a pause.
  const Millis second = first + Millis(700);
  const auto write = manager.Write(second, 3, true, Promise(200));
  CHECK(write.has_value());
  const Millis resumed = second + policy.operation_timeout;
  CHECK(manager.Read(resumed, 4).has_value());
  manager.Finish(resumed, MakeReadDone(4, 6, write->value));
  CHECK_EQUAL(200, manager.Promised(kBudget));
  CHECK(!manager.IsExpired(second + policy.promise_duration - Millis(1)));
  CHECK(manager.IsExpired(second + policy.promise_duration));
}
