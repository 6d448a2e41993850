#include <algorithm>
#include <memory>
#include <string>
#include <utility>

#include "spread_texts.h"
#include "spread_world.h"

namespace godwit::config {
namespace {

using base::Millis;

// Longest time by which a write without an answer takes effect late.
constexpr int64_t kLateWriteMs = 3000;

}  // namespace

void SpreadWorld::StartApply(size_t operator_index, bool valid) {
  const size_t index = operator_index % kOperators;
  Operator& op = operators_[index];
  if (op.apply != nullptr) {
    return;
  }
  op.text = (valid ? kValidText : kInvalidText) + std::to_string(++texts_);
  op.expected = kv_.version;
  op.apply = std::make_unique<Apply>(op.text, op.expected);
  At(now_ + Delay(), [this, index] { StepOperator(index); });
}

void SpreadWorld::StepOperator(size_t index) {
  Apply& apply = *operators_[index].apply;
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
    done.version = kv_.version;
    done.value = kv_.text;
  }
  At(now_ + Delay(), [this, index, done] {
    operators_[index].apply->Answer(done);
    StepOperator(index);
  });
}

void SpreadWorld::Write(size_t index, const platform::KvWrite& write) {
  platform::KvWriteDone done;
  done.operation = write.operation;
  const bool lost = outage_ || (lost_answers_ && Chance(60));
  if (lost && Chance(30)) {
    done.outcome = platform::WriteOutcome::kNotSent;
  } else if (lost) {
    // May take effect after the writer has given up, or never.
    done.outcome = platform::WriteOutcome::kUnknown;
    if (Chance(60)) {
      const Millis late =
          now_ + Millis(static_cast<int64_t>(random_() % kLateWriteMs));
      At(late, [this, write] {
        kv_.CompareAndSwap(write.expected_version, write.value);
      });
    }
  } else {
    const int64_t expected = fault_ == PlantedFault::kOverwrite
                                 ? kv_.version
                                 : write.expected_version;
    const bool won = kv_.CompareAndSwap(expected, write.value);
    done.outcome =
        won ? platform::WriteOutcome::kWon : platform::WriteOutcome::kLost;
    done.version = won ? kv_.version : 0;
  }
  if (fault_ == PlantedFault::kAcceptUnknown &&
      done.outcome == platform::WriteOutcome::kUnknown) {
    done.outcome = platform::WriteOutcome::kWon;
    done.version = write.expected_version + 1;
  }
  At(now_ + Delay(), [this, index, done] {
    operators_[index].apply->Answer(done);
    StepOperator(index);
  });
}

void SpreadWorld::FinishApply(size_t index, const ApplyResult& result) {
  Operator& op = operators_[index];
  if (result.outcome == ApplyOutcome::kAccepted) {
    ++accepted_;
    const auto written = kv_.history.find(result.revision);
    if (written == kv_.history.end() || written->second != op.text) {
      Violate("an accepted text was not written");
    }
    if (result.revision != op.expected + 1) {
      Violate("an accepted text replaced another one than its base");
    }
  }
  const auto copies = std::count_if(
      kv_.history.begin(), kv_.history.end(),
      [&](const auto& version) { return version.second == op.text; });
  if (copies > 1) {
    Violate("one apply was written twice");
  }
  if (copies > 0 && (result.outcome == ApplyOutcome::kConflict ||
                     result.outcome == ApplyOutcome::kUnavailable)) {
    Violate("an apply that was refused took effect");
  }
  op.apply.reset();
}

}  // namespace godwit::config
