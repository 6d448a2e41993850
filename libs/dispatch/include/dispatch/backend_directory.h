#ifndef DISPATCH_BACKEND_DIRECTORY_H_
#define DISPATCH_BACKEND_DIRECTORY_H_

#include <map>
#include <optional>
#include <string>
#include <vector>

#include "base/ids.h"
#include "base/millis.h"
#include "dispatch/backend.h"
#include "dispatch/backend_health_changed.h"

namespace godwit::dispatch {

// The backend servers that are registered in the platform's store, corrected
// by what this router saw itself. A server that was seen to leave is not used
// again, also while the store is away. No I/O. One thread at a time.
class BackendDirectory {
 public:
  // The whole registry was read. Servers that it lacks have left, unless the
  // store was away: see OnStoreAvailable.
  std::vector<BackendHealthChanged> OnListed(
      base::Millis now,
      const std::vector<Backend>& backends);
  // One entry was written or removed.
  std::vector<BackendHealthChanged> OnUpdated(const Backend& backend);
  std::vector<BackendHealthChanged> OnRemoved(base::Millis now,
                                              const std::string& instance);

  // The store can't be asked, or answers again after that. Registrations may
  // have lapsed meanwhile: servers that are missing right after its return are
  // used until they have had time to register again.
  void OnStoreUnavailable();
  void OnStoreAvailable(base::Millis now);

  // Another server answered at the address of this one.
  std::vector<BackendHealthChanged> MarkReplaced(const std::string& instance);

  // Drops servers that did not come back. Due every few tens of milliseconds.
  std::vector<BackendHealthChanged> Tick(base::Millis now);

  // Servers that may be given work.
  std::vector<const Backend*> Usable(const base::ServiceId& service) const;
  // True once the registry was read.
  bool loaded() const noexcept { return loaded_; }
  size_t size() const noexcept { return entries_.size(); }

 private:
  struct Entry {
    Backend backend;
    // Another server has its address.
    bool replaced = false;
    // Not in the registry since the store's return.
    std::optional<base::Millis> missing_since;
  };

  bool MayHaveLapsed(base::Millis now) const;
  void Drop(std::map<std::string, Entry>::iterator entry,
            const char* reason,
            std::vector<BackendHealthChanged>& changes);

  std::map<std::string, Entry> entries_;
  bool loaded_ = false;
  bool store_unavailable_ = false;
  std::optional<base::Millis> store_available_since_;
};

}  // namespace godwit::dispatch

#endif  // DISPATCH_BACKEND_DIRECTORY_H_
