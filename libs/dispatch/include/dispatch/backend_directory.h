#ifndef DISPATCH_BACKEND_DIRECTORY_H_
#define DISPATCH_BACKEND_DIRECTORY_H_

#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "base/ids.h"
#include "base/millis.h"
#include "dispatch/backend.h"
#include "dispatch/backend_health_changed.h"
#include "dispatch/data_centre_state_changed.h"

namespace godwit::dispatch {

// The backend servers that are registered in the platform's store, corrected
// by what this router observed itself and without those in data centres that
// the operator has evacuated. A server whose removal was observed is not used
// again, even while the store is unavailable. No I/O. Not thread-safe.
class BackendDirectory {
 public:
  // The complete registry was read. Servers missing from it were removed,
  // unless the store was unavailable: see OnStoreAvailable().
  std::vector<BackendHealthChanged> OnListed(
      base::Millis now,
      const std::vector<Backend>& backends);
  // One entry was written or removed.
  std::vector<BackendHealthChanged> OnUpdated(const Backend& backend);
  std::vector<BackendHealthChanged> OnRemoved(base::Millis now,
                                              const std::string& instance);

  // The store became unavailable, or available again. Registrations may have
  // lapsed meanwhile: servers that are missing right after that stay in use
  // until they have had time to register again.
  void OnStoreUnavailable();
  void OnStoreAvailable(base::Millis now);
  // The store returned from an older copy. Until servers have had time to write
  // their registrations again, missing servers stay in use, draining servers
  // stay so, and servers whose removal was observed are not used.
  void OnStoreReturned(base::Millis now);

  // Another server answered at the address of this one.
  std::vector<BackendHealthChanged> MarkReplaced(const std::string& instance);

  // The server stated in an answer that it is about to stop. It gets no new
  // work in this incarnation, whatever its registration says.
  std::vector<BackendHealthChanged> MarkLeaving(const Backend& backend);

  // Sets the data centres that the operator has evacuated.
  void SetEvacuations(std::set<base::DataCentreId> data_centres);
  // Applies them. After the store returned from an older copy, an evacuation
  // that is missing stays in force for as long as missing servers stay in use.
  // Due as Tick() is.
  std::vector<DataCentreStateChanged> ApplyEvacuations(base::Millis now);
  // Data centres whose servers are not used.
  const std::set<base::DataCentreId>& evacuated() const { return evacuated_; }
  // Whether a server of the service is not used for this reason only.
  bool HasEvacuatedBackends(const base::ServiceId& service) const;

  // Removes servers that did not register again. Due every few tens of
  // milliseconds.
  std::vector<BackendHealthChanged> Tick(base::Millis now);

  // Servers that may be given work.
  std::vector<const Backend*> UsableBackends(
      const base::ServiceId& service) const;
  // All registered servers, also those that may not be given work.
  std::vector<const Backend*> RegisteredBackends() const;
  // Returns null if no registered server has this Backend::key().
  const Backend* FindByKey(const std::string& key) const;
  // Backend::key() of all registered servers.
  std::set<std::string> Keys() const;
  // True after the registry was first read.
  bool loaded() const noexcept { return loaded_; }
  size_t size() const noexcept { return entries_.size(); }

 private:
  struct Entry {
    Backend backend;
    // Another server has its address.
    bool replaced = false;
    // It stated in an answer that it is about to stop.
    bool leaving = false;
    // Set while the server is missing from the registry after an outage of the
    // store.
    std::optional<base::Millis> missing_since;
  };

  static bool TakesWork(const Entry& entry);
  bool RegistrationsMayHaveLapsed(base::Millis now) const;
  // True while the registry may show an older copy.
  bool MayBeOld(base::Millis now) const;
  void RemoveEntry(std::map<std::string, Entry>::iterator entry,
                   base::Millis now,
                   const char* reason,
                   std::vector<BackendHealthChanged>& changes);

  struct Removal {
    // Key of the removed server.
    std::string key;
    base::Millis at;
    // The registration that the registry shows again, if it does.
    std::optional<Backend> listed;
  };

  std::map<std::string, Entry> entries_;
  // Recent removals, by instance.
  std::map<std::string, Removal> removals_;
  // As the operator set them, and in force.
  std::set<base::DataCentreId> evacuations_;
  std::set<base::DataCentreId> evacuated_;
  bool loaded_ = false;
  bool store_unavailable_ = false;
  std::optional<base::Millis> store_available_since_;
  std::optional<base::Millis> store_returned_at_;
};

}  // namespace godwit::dispatch

#endif  // DISPATCH_BACKEND_DIRECTORY_H_
