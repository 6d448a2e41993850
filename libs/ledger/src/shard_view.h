#ifndef LEDGER_SHARD_VIEW_H_
#define LEDGER_SHARD_VIEW_H_

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "base/error.h"
#include "base/ids.h"
#include "base/millis.h"
#include "ledger/ledger_record.h"
#include "platform/kv_read.h"
#include "platform/kv_read_done.h"
#include "platform/kv_write.h"
#include "platform/kv_write_done.h"

namespace godwit::ledger {

// One ledger key as a router knows it: the newest version seen and the writes
// that may yet replace it. At most one operation is in flight.
class ShardView {
 public:
  // What a finished operation brought.
  enum class Progress {
    // Not an answer to the operation in flight.
    kForeign,
    // A version was read or written.
    kAdopted,
    // The version in view is outdated.
    kLost,
    // The KV did not answer usefully.
    kFailed,
  };

  explicit ShardView(std::string key) : key_(std::move(key)) {}

  // True once a version was seen.
  bool known() const noexcept { return known_; }
  // True when the version in view is known to be outdated.
  bool outdated() const noexcept { return outdated_; }
  // The stored bytes can't be read.
  bool corrupt() const noexcept { return corrupt_; }
  const LedgerRecord& record() const noexcept { return record_; }
  // A time at which the version in view was surely the stored one.
  base::Millis proven_at() const noexcept { return proven_at_; }
  // Start of the operation in flight.
  std::optional<base::Millis> busy_since() const noexcept;
  // True while a write may yet take effect.
  bool has_open_writes() const noexcept;

  // The budget in the version in view; null when there is none.
  const Budget* budget(const base::BudgetId& id) const;
  // Least amount that the version in view and all open writes set aside for an
  // active grant; 0 where one of them lacks it.
  base::Tokens ceiling(const base::BudgetId& budget,
                       const base::GrantId& grant) const;
  // True when the version in view and all open writes list the agent under an
  // active grant.
  bool lists(const base::BudgetId& budget,
             const base::GrantId& grant,
             const base::Incarnation& agent) const;

  platform::KvRead StartRead(base::Millis now, int64_t operation);
  platform::KvWrite StartWrite(base::Millis now,
                               int64_t operation,
                               LedgerRecord proposal);
  Progress Finish(const platform::KvReadDone& done);
  Progress Finish(const platform::KvWriteDone& done);
  // Takes the operation in flight for unanswered.
  void GiveUp();

 private:
  struct Operation {
    int64_t number;
    base::Millis started_at;
    bool is_write;
  };
  struct OpenWrite {
    int64_t expected_version;
    LedgerRecord proposal;
  };

  bool Answers(int64_t operation, bool is_write) const;
  void Adopt(int64_t version, LedgerRecord record, base::Millis proven_at);

  std::string key_;
  bool known_ = false;
  bool outdated_ = false;
  bool corrupt_ = false;
  int64_t version_ = 0;
  LedgerRecord record_;
  base::Millis proven_at_;
  std::optional<Operation> operation_;
  // The last one belongs to the write in flight, if there is one.
  std::vector<OpenWrite> open_writes_;
};

}  // namespace godwit::ledger

#endif  // LEDGER_SHARD_VIEW_H_
