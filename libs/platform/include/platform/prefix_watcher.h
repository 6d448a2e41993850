#ifndef PLATFORM_PREFIX_WATCHER_H_
#define PLATFORM_PREFIX_WATCHER_H_

#include <cstdint>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "base/millis.h"
#include "platform/kv_change.h"
#include "platform/kv_item.h"
#include "platform/kv_list_done.h"
#include "platform/kv_version.h"
#include "platform/kv_watch_done.h"
#include "platform/list_reader.h"

namespace godwit::platform {

// Tracks the keys under a prefix: lists them, then watches for changes from the
// revision of the list. It lists them again when the KV has compacted that
// revision or entered a new era, and after a watch was interrupted, since a
// later watch may never report changes made shortly before the interruption. No
// I/O. Not thread-safe.
class PrefixWatcher {
 public:
  // Interval between an answer with changes and the next watch. Changes that
  // come close together are reported by one call.
  explicit PrefixWatcher(base::Millis watch_interval = base::Millis())
      : watch_interval_(watch_interval) {}

  // Requests to the KV. At most one is pending.
  struct List {
    std::string start_after;
  };
  struct Watch {
    KvVersion after_revision;
  };
  using Request = std::variant<List, Watch>;

  // Changes to report to the caller.
  struct Listed {
    std::vector<KvItem> items;
  };
  struct Changed {
    KvChange change;
  };
  // The KV became unavailable, or available again.
  struct Unavailable {};
  struct Available {};
  using Update = std::variant<Listed, Changed, Unavailable, Available>;

  // True when changes of the keys are reported: they were listed, and no watch
  // failed since.
  bool is_following() const noexcept { return listed_; }

  // The next request to the KV, if one is due. Call after each outcome and on
  // every tick.
  std::optional<Request> Next(base::Millis now);

  // Handles the start of an era of the KV, of which another call may have told.
  void OnEra(int64_t era);

  // Handles the outcome of the pending request and returns the resulting
  // updates.
  std::vector<Update> On(base::Millis now, const KvListDone& done);
  std::vector<Update> On(base::Millis now, const KvWatchDone& done);

 private:
  void RecordSuccess(std::vector<Update>& updates);
  void RecordFailure(base::Millis now, std::vector<Update>& updates);

  const base::Millis watch_interval_;
  bool request_pending_ = false;
  bool listed_ = false;
  bool unavailable_ = false;
  int failures_ = 0;
  base::Millis retry_at_;
  ListReader reader_;
  // Revision to watch from.
  KvVersion revision_;
};

}  // namespace godwit::platform

#endif  // PLATFORM_PREFIX_WATCHER_H_
