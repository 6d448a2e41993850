#include <algorithm>
#include <memory>
#include <string>
#include <utility>

#include "config_sync_simulation.h"
#include "config_texts.h"

namespace godwit::config {
namespace {

using base::Millis;

// Maximum delay after which a write without an answer takes effect.
constexpr int64_t kMaxLateWriteMs = 3000;

}  // namespace

void ConfigSyncSimulation::StartApply(size_t operator_index, bool valid) {
  const size_t index = operator_index % kOperators;
  Operator& op = operators_[index];
  if (op.apply != nullptr) {
    return;
  }
  op.text = (valid ? kValidText : kInvalidText) + std::to_string(++text_count_);
  op.expected = kv_.version;
  op.apply = std::make_unique<ApplyOperation>(op.text, op.expected);
  Schedule(now_ + Delay(), [this, index] { StepOperator(index); });
}

void ConfigSyncSimulation::StepOperator(size_t index) {
  ApplyOperation& apply = *operators_[index].apply;
  const auto command = apply.Next();
  if (!command) {
    FinishApply(index, *apply.result());
    return;
  }
  if (const auto* write = std::get_if<platform::KvWrite>(&*command)) {
    Write(index, *write);
    return;
  }
  platform::KvReadDone done;
  done.operation = std::get<platform::KvRead>(*command).operation;
  done.available = !outage_ && !(lost_answers_ && Chance(50));
  if (done.available) {
    done.version = platform::KvVersion(kv_.version);
    done.value = kv_.text;
  }
  Schedule(now_ + Delay(), [this, index, done] {
    operators_[index].apply->OnResult(done);
    StepOperator(index);
  });
}

void ConfigSyncSimulation::Write(size_t index, const platform::KvWrite& write) {
  platform::KvWriteDone done;
  done.operation = write.operation;
  const bool lost = outage_ || (lost_answers_ && Chance(60));
  if (lost && Chance(30)) {
    done.outcome = platform::WriteOutcome::kNotSent;
  } else if (lost) {
    // May take effect after the writer has timed out, or never.
    done.outcome = platform::WriteOutcome::kUnknown;
    if (Chance(60)) {
      const Millis late =
          now_ + Millis(static_cast<int64_t>(random_() % kMaxLateWriteMs));
      Schedule(late, [this, write] {
        kv_.CompareAndSwap(write.expected_version.revision, write.value);
      });
    }
  } else {
    const int64_t expected = fault_ == InjectedFault::kOverwrite
                                 ? kv_.version
                                 : write.expected_version.revision;
    const bool won = kv_.CompareAndSwap(expected, write.value);
    done.outcome =
        won ? platform::WriteOutcome::kWon : platform::WriteOutcome::kLost;
    done.version = platform::KvVersion(won ? kv_.version : 0);
  }
  if (fault_ == InjectedFault::kAcceptUnknown &&
      done.outcome == platform::WriteOutcome::kUnknown) {
    done.outcome = platform::WriteOutcome::kWon;
    done.version = platform::KvVersion(write.expected_version.revision + 1);
  }
  Schedule(now_ + Delay(), [this, index, done] {
    operators_[index].apply->OnResult(done);
    StepOperator(index);
  });
}

void ConfigSyncSimulation::FinishApply(size_t index,
                                       const ApplyResult& result) {
  Operator& op = operators_[index];
  if (result.outcome == ApplyOutcome::kAccepted) {
    ++accepted_;
    const auto written = kv_.history.find(result.revision);
    if (written == kv_.history.end() || written->second != op.text) {
      ReportViolation("an accepted text was not written");
    }
    if (result.revision != op.expected + 1) {
      ReportViolation(
          "an accepted text replaced a revision other than the expected one");
    }
  }
  const auto copies = std::count_if(
      kv_.history.begin(), kv_.history.end(),
      [&](const auto& version) { return version.second == op.text; });
  if (copies > 1) {
    ReportViolation("the text of one apply was written more than once");
  }
  if (copies > 0 && (result.outcome == ApplyOutcome::kConflict ||
                     result.outcome == ApplyOutcome::kUnavailable)) {
    ReportViolation("an apply reported as having no effect took effect");
  }
  op.apply.reset();
}

}  // namespace godwit::config
