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
#include "platform/kv_watch_done.h"
#include "platform/list_reader.h"

namespace godwit::platform {

// Keeps up with the keys under a prefix: lists them, then waits for changes
// from there. It lists them again once the KV has forgotten where it was, and
// after a wait that was cut: changes made shortly before may never show in a
// later wait. No I/O. One thread at a time.
class PrefixWatcher {
 public:
  // To be asked of the KV; one at a time.
  struct List {
    std::string start_after;
  };
  struct Watch {
    int64_t after_revision = 0;
  };
  using Request = std::variant<List, Watch>;

  // What was learned.
  struct Listed {
    std::vector<KvItem> items;
  };
  struct Changed {
    KvChange change;
  };
  // The KV can't be asked, and can again.
  struct Unavailable {};
  struct Available {};
  using Update = std::variant<Listed, Changed, Unavailable, Available>;

  // What to ask now, if anything. Due after each outcome and on every tick.
  std::optional<Request> Next(base::Millis now);

  // Outcomes of what was asked.
  std::vector<Update> On(base::Millis now, const KvListDone& done);
  std::vector<Update> On(base::Millis now, const KvWatchDone& done);

 private:
  void RecordSuccess(std::vector<Update>& updates);
  void RecordFailure(base::Millis now, std::vector<Update>& updates);

  bool request_pending_ = false;
  bool listed_ = false;
  bool unavailable_ = false;
  int failures_ = 0;
  base::Millis retry_at_;
  ListReader reader_;
  // Where to wait on.
  int64_t revision_ = 0;
};

}  // namespace godwit::platform

#endif  // PLATFORM_PREFIX_WATCHER_H_
