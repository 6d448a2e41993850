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

// Changes one ledger record by compare-and-swap. The edit is applied again to
// each newer version, so it must change nothing where it has been applied. A
// write without an answer is read back before anything else. No I/O; one
// thread at a time.
class LedgerChange {
 public:
  using Command = std::variant<platform::KvRead, platform::KvWrite>;
  // False for a refusal, with the reason in the edit's last_error().
  using Edit = std::function<bool(ledger::LedgerEdit&)>;

  LedgerChange(std::string key, base::WriteId write, Edit edit);

  // What to do next; empty once result() is set.
  std::optional<Command> Next();
  void Answer(const platform::KvReadDone& done);
  void Answer(const platform::KvWriteDone& done);
  // True when the KV failed, so that the next try should wait a little.
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
  int64_t version_ = 0;
  // The next version, while it is being written.
  std::optional<ledger::LedgerRecord> next_;
  int64_t failures_ = 0;
  int64_t lost_races_ = 0;
  bool maybe_written_ = false;
  bool should_pause_ = false;
  std::optional<LedgerChangeResult> result_;
};

}  // namespace godwit::ctl

#endif  // GODWITCTL_LEDGER_CHANGE_H_
