#ifndef CONFIG_APPLY_OPERATION_H_
#define CONFIG_APPLY_OPERATION_H_

#include <cstdint>
#include <optional>
#include <string>

#include "config/apply_command.h"
#include "config/apply_result.h"
#include "platform/kv_read_done.h"
#include "platform/kv_write_done.h"

namespace godwit::config {

// Writes a configuration text by compare-and-swap. After a write without an
// answer it reads the key back first, and repeats the write only with the same
// expected version, so that the text is written at most once. Applying the same
// text again changes nothing. No I/O. Not thread-safe.
class ApplyOperation {
 public:
  // `expected_revision` is the version that the operator's text is based on;
  // 0 for the first one.
  ApplyOperation(std::string text, int64_t expected_revision);

  // The next command; empty once result() is set. Call once after construction
  // and after each result.
  std::optional<ApplyCommand> Next();

  void OnResult(const platform::KvReadDone& done);
  void OnResult(const platform::KvWriteDone& done);

  // True when the KV failed, so that the caller should pause before the next
  // command.
  bool should_pause() const noexcept { return should_pause_; }

  const std::optional<ApplyResult>& result() const noexcept { return result_; }

 private:
  enum class Phase : uint8_t { kRead, kWrite, kDone };

  void Finish(ApplyOutcome outcome, int64_t revision, std::string text);
  void Retry();

  const std::string text_;
  const int64_t expected_revision_;
  Phase phase_ = Phase::kRead;
  int64_t operation_ = 0;
  int64_t failures_ = 0;
  bool may_be_written_ = false;
  bool should_pause_ = false;
  std::optional<ApplyResult> result_;
};

}  // namespace godwit::config

#endif  // CONFIG_APPLY_OPERATION_H_
