#ifndef MEMBERSHIP_FLEET_EDITOR_H_
#define MEMBERSHIP_FLEET_EDITOR_H_

#include <cstdint>
#include <random>
#include <vector>

#include "base/error.h"
#include "base/millis.h"
#include "membership/fleet_codec.h"
#include "membership/fleet_command.h"
#include "membership/fleet_edit.h"
#include "membership/fleet_record.h"
#include "platform/kv_read_done.h"
#include "platform/kv_write_done.h"

namespace godwit::membership {

// Applies edits to the fleet record by compare-and-swap: reads, applies and
// writes, reads again after a lost or unknown outcome, and retries with backoff
// until the record contains every edit. At most one operation is open. A
// corrupt record is never overwritten: the editor keeps retrying, and
// last_error() gives the reason. Not thread-safe.
class FleetEditor {
 public:
  explicit FleetEditor(std::mt19937_64 random);

  // Adds an edit. Edits that are pending at the same time are combined into one
  // write.
  std::vector<FleetCommand> Submit(base::Millis now, FleetEdit edit);

  std::vector<FleetCommand> OnReadDone(base::Millis now,
                                       const platform::KvReadDone& done);
  std::vector<FleetCommand> OnWriteDone(base::Millis now,
                                        const platform::KvWriteDone& done);
  // Must be called at least every 100 ms while not idle.
  std::vector<FleetCommand> Tick(base::Millis now);

  // True if the record is known to contain every submitted edit.
  bool idle() const noexcept { return pending_.empty(); }

  // The newest record that the editor has read or written, and its version; the
  // version is 0 before the first.
  const FleetRecord& record() const noexcept { return record_; }
  int64_t version() const noexcept { return version_; }

  const base::Error& last_error() const noexcept { return error_; }

 private:
  std::vector<FleetCommand> Read();
  std::vector<FleetCommand> Write();
  void BackOff(base::Millis now);

  std::mt19937_64 random_;
  FleetCodec codec_;
  std::vector<FleetEdit> pending_;
  // The first `writing_count_` pending edits are in the open write.
  size_t writing_count_ = 0;
  FleetRecord writing_;
  FleetRecord record_;
  int64_t version_ = 0;
  int64_t next_operation_ = 1;
  // 0 if none is open.
  int64_t open_operation_ = 0;
  int64_t failures_ = 0;
  base::Millis retry_at_;
  base::Error error_;
};

}  // namespace godwit::membership

#endif  // MEMBERSHIP_FLEET_EDITOR_H_
