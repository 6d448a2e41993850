#ifndef DISPATCH_VERSION_REGISTER_H_
#define DISPATCH_VERSION_REGISTER_H_

#include <algorithm>
#include <cstdint>
#include <optional>
#include <variant>

#include "base/millis.h"
#include "cas/key_view.h"
#include "dispatch/stored_versions.h"
#include "platform/kv_read.h"
#include "platform/kv_read_done.h"
#include "platform/kv_write.h"
#include "platform/kv_write_done.h"

namespace godwit::dispatch {

class FleetMembers;

// Keeps the list of software versions that recently served in the KV, so that
// routers that have all just started know whether a stream may have begun at a
// version that has left since. The list changes with a release only. One router
// writes each change; the others write it if they hear nothing of it. No I/O.
// Not thread-safe.
class VersionRegister {
 public:
  using Operation = std::variant<platform::KvRead, platform::KvWrite>;

  static constexpr char kKey[] = "versions/served";

  // `members` must outlive this object.
  explicit VersionRegister(const FleetMembers& members);

  // The KV states its era.
  void SetEra(int64_t era);

  // What a router knows of the versions that serve.
  struct Known {
    // Versions that are registered now, and those that recently were.
    VersionsByService current;
    VersionsByService recent;
    // No others recently were.
    bool is_all = false;
  };

  // Returns the operation that is due, if any. The numbers of operations are
  // negative.
  std::optional<Operation> Next(base::Millis now, const Known& known);

  // Asks for a read of the list that begins at this time or later.
  void RequestRead(base::Millis since) {
    read_requested_at_ = std::max(read_requested_at_, since);
  }
  // Start of the latest read that was answered.
  base::Millis read_at() const noexcept { return read_at_; }

  // What the outcome of an operation means: it belongs to another component, or
  // the stored list is not known, was read, or was written by this router.
  enum class Result : uint8_t { kUnrelated, kNone, kRead, kWritten };
  Result Finish(base::Millis now, const platform::KvReadDone& done);
  Result Finish(base::Millis now, const platform::KvWriteDone& done);
  // Another router has stored a list.
  void OnNotice(const StoredVersions& stored);

  // The stored list as far as it is known.
  const StoredVersions& stored() const { return stored_; }
  // True if the list was read or written in this era of the KV, and is
  // complete.
  bool is_complete() const;

 private:
  template <typename Done>
  Result Handle(base::Millis now, const Done& done);
  StoredVersions WantedList(const Known& known) const;
  // How long this router leaves a change to others.
  base::Millis Delay(const StoredVersions& wanted) const;

  const FleetMembers& members_;
  cas::KeyView<StoredVersions, StoredVersionsCodec> view_;
  StoredVersions stored_;
  int64_t era_ = 0;
  // The key has to be read in this era.
  bool needs_read_ = true;
  base::Millis read_requested_at_;
  base::Millis read_started_at_;
  base::Millis read_at_;
  int64_t next_operation_ = -1;
  base::Millis retry_at_;
  // Since when the stored list differs from the wanted one.
  std::optional<base::Millis> differs_since_;
};

}  // namespace godwit::dispatch

#endif  // DISPATCH_VERSION_REGISTER_H_
