#ifndef GODWITCTL_LEDGER_CHANGE_H_
#define GODWITCTL_LEDGER_CHANGE_H_

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <variant>

#include "base/ids.h"
#include "ledger_change_result.h"
#include "platform/kv_read.h"
#include "platform/kv_read_done.h"
#include "platform/kv_write.h"
#include "platform/kv_write_done.h"

namespace godwit::ctl {}  // namespace godwit::ctl

namespace godwit::ledger {
class LedgerEdit;
}

namespace godwit::ctl {

// Changes one ledger record by compare-and-swap. The edit is reapplied to each
// newer version of the record, so it must be idempotent. After a write without
// an answer, the record is read back before anything else is done. Does no I/O;
// not thread-safe.
class LedgerChange {
 public:
  using Command = std::variant<platform::KvRead, platform::KvWrite>;
  // Returns false to refuse the change, with the reason in the edit's
  // last_error().
  using Edit = std::function<bool(ledger::LedgerEdit&)>;

  LedgerChange(std::string key, base::WriteId write, Edit edit);

  // Returns the next command, or nullopt once result() is set.
  std::optional<Command> Next();
  void OnResult(const platform::KvReadDone& done);
  void OnResult(const platform::KvWriteDone& done);
  // True if the KV failed, so that the caller should pause before the next
  // command.
  bool should_pause() const noexcept { return should_pause_; }

  const std::optional<LedgerChangeResult>& result() const noexcept {
    return result_;
  }

 private:
  void EditRecord(ledger::LedgerRecord record);
  void Finish(base::Error error);
  void Retry();

  const std::string key_;
  const base::WriteId write_;
  const Edit edit_;
  int64_t operation_ = 0;
  platform::KvVersion version_;
  // The new record while it is being written.
  std::optional<ledger::LedgerRecord> next_;
  int64_t failures_ = 0;
  int64_t lost_races_ = 0;
  bool maybe_written_ = false;
  bool should_pause_ = false;
  std::optional<LedgerChangeResult> result_;
};

}  // namespace godwit::ctl

#endif  // GODWITCTL_LEDGER_CHANGE_H_
