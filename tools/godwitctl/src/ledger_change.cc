#include "ledger_change.h"

#include <utility>

#include "ledger/ledger_codec.h"
#include "ledger/ledger_edit.h"

namespace godwit::ctl {
namespace {

using base::Error;
using base::ErrorKind;

constexpr int64_t kMaxFailures = 5;
// Routers write the same records, so lost races are expected.
constexpr int64_t kMaxLostRaces = 200;

}  // namespace

LedgerChange::LedgerChange(std::string key, base::WriteId write, Edit edit)
    : key_(std::move(key)), write_(std::move(write)), edit_(std::move(edit)) {}

std::optional<LedgerChange::Command> LedgerChange::Next() {
  if (result_) {
    return std::nullopt;
  }
  ++operation_;
  if (!next_) {
    return platform::KvRead{operation_, key_};
  }
  return platform::KvWrite{operation_, key_, version_,
                           ledger::LedgerCodec().Encode(*next_), ""};
}

void LedgerChange::OnResult(const platform::KvReadDone& done) {
  if (done.operation != operation_ || next_) {
    return;
  }
  should_pause_ = !done.available;
  if (!done.available) {
    Retry();
    return;
  }
  ledger::LedgerCodec codec;
  auto record = codec.Decode(done.value);
  if (!record) {
    Finish(codec.last_error());
    return;
  }
  version_ = done.version;
  EditRecord(std::move(*record));
}

void LedgerChange::EditRecord(ledger::LedgerRecord record) {
  ledger::LedgerEdit edit(std::move(record));
  if (!edit_(edit)) {
    Finish(edit.last_error());
    return;
  }
  if (!edit.changed()) {
    result_ = LedgerChangeResult{Error(), maybe_written_, edit.record()};
    return;
  }
  edit.SetWrite(write_);
  next_ = edit.record();
}

void LedgerChange::OnResult(const platform::KvWriteDone& done) {
  if (done.operation != operation_ || !next_) {
    return;
  }
  const ledger::LedgerRecord written = *std::exchange(next_, std::nullopt);
  should_pause_ = false;
  switch (done.outcome) {
    case platform::WriteOutcome::kWon:
      result_ = LedgerChangeResult{Error(), true, written};
      return;
    case platform::WriteOutcome::kLost:
      ++lost_races_;
      if (lost_races_ >= kMaxLostRaces) {
        Finish(Error(ErrorKind::kConflict,
                     key_ + " is changed by others all the time",
                     "repeat the command"));
      }
      return;
    case platform::WriteOutcome::kUnknown:
      maybe_written_ = true;
      [[fallthrough]];
    case platform::WriteOutcome::kNotSent:
      should_pause_ = true;
      Retry();
      return;
  }
}

void LedgerChange::Retry() {
  ++failures_;
  if (failures_ < kMaxFailures) {
    return;
  }
  if (maybe_written_) {
    Finish(Error(ErrorKind::kOutcomeUnknown,
                 "a write went without an answer and can't be read back",
                 "repeat the same command when the KV is back; what has taken "
                 "effect is not done twice"));
    return;
  }
  Finish(Error(ErrorKind::kUnavailable,
               "the platform's KV does not answer; nothing was changed",
               "check --platform, and repeat the command when the KV is back"));
}

void LedgerChange::Finish(Error error) {
  result_ = LedgerChangeResult{std::move(error), false, {}};
}

}  // namespace godwit::ctl
