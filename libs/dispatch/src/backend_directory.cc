#include "dispatch/backend_directory.h"

#include <iterator>
#include <set>

namespace godwit::dispatch {
namespace {

using Health = BackendHealthChanged::Health;

// Live servers register again within about two seconds after the store becomes
// available.
constexpr base::Millis kReregistrationTime(2000);

BackendHealthChanged MakeChange(const Backend& backend,
                                Health health,
                                std::string reason) {
  return {health, backend.instance, backend.service, std::move(reason)};
}

}  // namespace

bool BackendDirectory::RegistrationsMayHaveLapsed(base::Millis now) const {
  return store_unavailable_ ||
         (store_available_since_ &&
          now - *store_available_since_ < kReregistrationTime);
}

void BackendDirectory::RemoveEntry(std::map<std::string, Entry>::iterator entry,
                                   const char* reason,
                                   std::vector<BackendHealthChanged>& changes) {
  changes.push_back(
      MakeChange(entry->second.backend, Health::kRemoved, reason));
  entries_.erase(entry);
}

std::vector<BackendHealthChanged> BackendDirectory::OnListed(
    base::Millis now,
    const std::vector<Backend>& backends) {
  loaded_ = true;
  std::vector<BackendHealthChanged> changes;
  std::set<std::string> listed;
  for (const Backend& backend : backends) {
    listed.insert(backend.instance);
    for (BackendHealthChanged& change : OnUpdated(backend)) {
      changes.push_back(std::move(change));
    }
  }
  std::vector<std::string> missing;
  for (const auto& [instance, entry] : entries_) {
    if (listed.count(instance) == 0) {
      missing.push_back(instance);
    }
  }
  for (const std::string& instance : missing) {
    for (BackendHealthChanged& change : OnRemoved(now, instance)) {
      changes.push_back(std::move(change));
    }
  }
  return changes;
}

std::vector<BackendHealthChanged> BackendDirectory::OnUpdated(
    const Backend& backend) {
  std::vector<BackendHealthChanged> changes;
  const auto found = entries_.find(backend.instance);
  if (found == entries_.end()) {
    entries_[backend.instance].backend = backend;
    changes.push_back(MakeChange(
        backend, backend.draining ? Health::kDraining : Health::kAdded,
        "registered"));
    return changes;
  }
  Entry& entry = found->second;
  const bool is_restart = entry.backend.key() != backend.key();
  if (is_restart || entry.backend.address != backend.address) {
    entry.replaced = false;
    changes.push_back(MakeChange(backend, Health::kAdded, "restarted"));
  } else if (backend.draining && !entry.backend.draining) {
    changes.push_back(MakeChange(backend, Health::kDraining, "registered"));
  }
  entry.backend = backend;
  entry.missing_since.reset();
  return changes;
}

std::vector<BackendHealthChanged> BackendDirectory::OnRemoved(
    base::Millis now,
    const std::string& instance) {
  std::vector<BackendHealthChanged> changes;
  const auto found = entries_.find(instance);
  if (found == entries_.end()) {
    return changes;
  }
  Entry& entry = found->second;
  // A draining server will not register again.
  if (RegistrationsMayHaveLapsed(now) && !entry.backend.draining) {
    entry.missing_since = entry.missing_since.value_or(now);
    return changes;
  }
  RemoveEntry(found, "not registered", changes);
  return changes;
}

void BackendDirectory::OnStoreUnavailable() {
  store_unavailable_ = true;
}

void BackendDirectory::OnStoreAvailable(base::Millis now) {
  if (store_unavailable_) {
    store_unavailable_ = false;
    store_available_since_ = now;
  }
}

std::vector<BackendHealthChanged> BackendDirectory::MarkReplaced(
    const std::string& instance) {
  std::vector<BackendHealthChanged> changes;
  const auto found = entries_.find(instance);
  if (found != entries_.end() && !found->second.replaced) {
    found->second.replaced = true;
    changes.push_back(MakeChange(found->second.backend, Health::kRemoved,
                                 "another server has its address"));
  }
  return changes;
}

std::vector<BackendHealthChanged> BackendDirectory::Tick(base::Millis now) {
  std::vector<BackendHealthChanged> changes;
  if (RegistrationsMayHaveLapsed(now)) {
    return changes;
  }
  for (auto entry = entries_.begin(); entry != entries_.end();) {
    const auto next = std::next(entry);
    if (entry->second.missing_since) {
      RemoveEntry(entry, "did not register again", changes);
    }
    entry = next;
  }
  return changes;
}

std::vector<const Backend*> BackendDirectory::UsableBackends(
    const base::ServiceId& service) const {
  std::vector<const Backend*> usable;
  for (const auto& [instance, entry] : entries_) {
    if (entry.backend.service == service && !entry.backend.draining &&
        !entry.replaced) {
      usable.push_back(&entry.backend);
    }
  }
  return usable;
}

}  // namespace godwit::dispatch
