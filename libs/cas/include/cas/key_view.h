#ifndef CAS_KEY_VIEW_H_
#define CAS_KEY_VIEW_H_

#include <algorithm>
#include <cstdint>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "base/millis.h"
#include "cas/progress.h"
#include "platform/kv_read.h"
#include "platform/kv_read_done.h"
#include "platform/kv_version.h"
#include "platform/kv_write.h"
#include "platform/kv_write_done.h"

namespace godwit::cas {

// View that a process has of one key of the KV: the newest version read and the
// writes that may still replace it. At most one operation is in flight. Codec
// provides Encode(Record) and Decode(bytes) -> std::optional<Record>.
template <typename Record, typename Codec>
class KeyView {
 public:
  explicit KeyView(std::string key) : key_(std::move(key)) {}

  // True once a version was read or written.
  bool known() const noexcept { return known_; }
  const std::string& key() const noexcept { return key_; }
  const platform::KvVersion& version() const noexcept { return version_; }
  // True when the version in view is known to be outdated.
  bool outdated() const noexcept { return outdated_; }
  // True when the stored bytes could not be decoded.
  bool corrupt() const noexcept { return corrupt_; }
  const Record& record() const noexcept { return record_; }
  // A time at which the version in view was certainly the stored one.
  base::Millis confirmed_at() const noexcept { return confirmed_at_; }

  // Start time of the operation in flight, if there is one.
  std::optional<base::Millis> busy_since() const noexcept {
    if (!operation_) {
      return std::nullopt;
    }
    return operation_->started_at;
  }

  // True while a write is in flight.
  bool is_writing() const noexcept {
    return operation_ && operation_->is_write;
  }

  // True while the outcome of a write is unknown, so that it may still take
  // effect.
  bool has_open_writes() const noexcept { return !open_writes_.empty(); }

  // True when the predicate holds for the version in view and for every version
  // that an unresolved write may produce.
  template <typename Predicate>
  bool HoldsForAllVersions(Predicate predicate) const {
    return predicate(record_) &&
           std::all_of(
               open_writes_.begin(), open_writes_.end(),
               [&](const OpenWrite& write) { return predicate(write.record); });
  }

  platform::KvRead StartRead(base::Millis now, int64_t operation) {
    operation_ = Operation{operation, now, false};
    return {operation, key_};
  }

  platform::KvWrite StartWrite(base::Millis now,
                               int64_t operation,
                               Record record) {
    operation_ = Operation{operation, now, true};
    platform::KvWrite write;
    write.operation = operation;
    write.key = key_;
    write.expected_version = version_;
    write.value = Codec().Encode(record);
    open_writes_.push_back({version_, std::move(record)});
    return write;
  }

  Progress Finish(const platform::KvReadDone& done) {
    if (!IsCurrentOperation(done.operation, false)) {
      return Progress::kUnrelated;
    }
    const base::Millis started_at = operation_->started_at;
    operation_.reset();
    if (!done.available || done.version < version_) {
      return Progress::kFailed;
    }
    return ApplyRead(done.version, done.value, started_at) ? Progress::kAdopted
                                                           : Progress::kFailed;
  }

  Progress Finish(const platform::KvWriteDone& done) {
    if (!IsCurrentOperation(done.operation, true)) {
      return Progress::kUnrelated;
    }
    const base::Millis started_at = operation_->started_at;
    operation_.reset();
    switch (done.outcome) {
      case platform::WriteOutcome::kWon: {
        Record written = std::move(open_writes_.back().record);
        Adopt(done.version, std::move(written), started_at);
        return Progress::kAdopted;
      }
      case platform::WriteOutcome::kLost:
        open_writes_.pop_back();
        // The reply may contain the version that won.
        outdated_ =
            !known_ || !done.current.version.exists() ||
            done.current.version < version_ ||
            !ApplyRead(done.current.version, done.current.value, started_at);
        return Progress::kConflict;
      case platform::WriteOutcome::kNotSent:
        open_writes_.pop_back();
        return Progress::kFailed;
      case platform::WriteOutcome::kUnknown:
        break;
    }
    outdated_ = true;
    return Progress::kFailed;
  }

  // Treats the operation in flight as unanswered. There must be one.
  void Abandon() {
    outdated_ = outdated_ || operation_->is_write;
    operation_.reset();
  }

 private:
  struct Operation {
    int64_t number;
    base::Millis started_at;
    bool is_write;
  };
  struct OpenWrite {
    platform::KvVersion expected_version;
    Record record;
  };

  bool IsCurrentOperation(int64_t operation, bool is_write) const {
    return operation_ && operation_->number == operation &&
           operation_->is_write == is_write;
  }

  // Applies a value read from the KV that is no older than the known one.
  // Returns false when it cannot be decoded.
  bool ApplyRead(platform::KvVersion version,
                 const std::string& value,
                 base::Millis started_at) {
    if (known_ && version == version_) {
      outdated_ = false;
      confirmed_at_ = started_at;
      return true;
    }
    auto record = Codec().Decode(value);
    corrupt_ = !record.has_value();
    if (corrupt_) {
      return false;
    }
    Adopt(version, std::move(*record), started_at);
    return true;
  }

  void Adopt(platform::KvVersion version,
             Record record,
             base::Millis confirmed_at) {
    known_ = true;
    outdated_ = false;
    version_ = version;
    record_ = std::move(record);
    confirmed_at_ = confirmed_at;
    // A write that expected an older version took effect before this version
    // or never will.
    const auto is_settled = [version](const OpenWrite& write) {
      return write.expected_version < version;
    };
    open_writes_.erase(
        std::remove_if(open_writes_.begin(), open_writes_.end(), is_settled),
        open_writes_.end());
  }

  std::string key_;
  bool known_ = false;
  bool outdated_ = false;
  bool corrupt_ = false;
  platform::KvVersion version_;
  Record record_;
  base::Millis confirmed_at_;
  std::optional<Operation> operation_;
  // While a write is in flight, the last element belongs to it.
  std::vector<OpenWrite> open_writes_;
};

}  // namespace godwit::cas

#endif  // CAS_KEY_VIEW_H_
