#include "config/apply_operation.h"

#include <utility>

#include "config/config_key.h"

namespace godwit::config {
namespace {

constexpr int64_t kMaxFailures = 5;

}  // namespace

ApplyOperation::ApplyOperation(std::string text, int64_t expected_revision)
    : text_(std::move(text)), expected_revision_(expected_revision) {}

std::optional<ApplyCommand> ApplyOperation::Next() {
  if (phase_ == Phase::kDone) {
    return std::nullopt;
  }
  ++operation_;
  should_pause_ = false;
  if (phase_ == Phase::kRead) {
    return platform::KvRead{operation_, kConfigKey};
  }
  return platform::KvWrite{operation_, kConfigKey,
                           platform::KvVersion(expected_revision_), text_, ""};
}

void ApplyOperation::OnResult(const platform::KvReadDone& done) {
  if (done.operation != operation_ || phase_ != Phase::kRead) {
    return;
  }
  if (!done.available) {
    Retry();
    return;
  }
  if (done.version.exists() && done.value == text_) {
    Finish(ApplyOutcome::kAccepted, done.version.revision, {});
    return;
  }
  if (done.version.revision == expected_revision_) {
    phase_ = Phase::kWrite;
    return;
  }
  Finish(may_be_written_ ? ApplyOutcome::kUnknown : ApplyOutcome::kConflict,
         done.version.revision, done.value);
}

void ApplyOperation::OnResult(const platform::KvWriteDone& done) {
  if (done.operation != operation_ || phase_ != Phase::kWrite) {
    return;
  }
  phase_ = Phase::kRead;
  switch (done.outcome) {
    case platform::WriteOutcome::kWon:
      Finish(ApplyOutcome::kAccepted, done.version.revision, {});
      return;
    case platform::WriteOutcome::kLost:
      return;
    case platform::WriteOutcome::kNotSent:
      Retry();
      return;
    case platform::WriteOutcome::kUnknown:
      may_be_written_ = true;
      Retry();
      return;
  }
}

void ApplyOperation::Finish(ApplyOutcome outcome,
                            int64_t revision,
                            std::string text) {
  phase_ = Phase::kDone;
  result_ = ApplyResult{outcome, revision, std::move(text)};
}

void ApplyOperation::Retry() {
  ++failures_;
  should_pause_ = true;
  if (failures_ >= kMaxFailures) {
    Finish(
        may_be_written_ ? ApplyOutcome::kUnknown : ApplyOutcome::kUnavailable,
        0, {});
  }
}

}  // namespace godwit::config
