#include "dispatch/backend_directory.h"

#include <algorithm>
#include <iterator>
#include <set>
#include <utility>

namespace godwit::dispatch {
namespace {

using Health = BackendHealthChanged::Health;

// Live servers register again within about two seconds after the store becomes
// available.
constexpr base::Millis kReregistrationTime(2000);
// Removals are remembered for longer than the store can fall back.
constexpr base::Millis kRemovalRetention(60'000);

BackendHealthChanged MakeChange(const Backend& backend,
                                Health health,
                                std::string reason) {
  return {health, backend.instance, backend.service, std::move(reason),
          backend.software_version};
}

}  // namespace

bool BackendDirectory::RegistrationsMayHaveLapsed(base::Millis now) const {
  return store_unavailable_ ||
         (store_available_since_ &&
          now - *store_available_since_ < kReregistrationTime);
}

bool BackendDirectory::MayBeOld(base::Millis now) const {
  return store_returned_at_ && now - *store_returned_at_ < kReregistrationTime;
}

void BackendDirectory::RemoveEntry(std::map<std::string, Entry>::iterator entry,
                                   base::Millis now,
                                   const char* reason,
                                   std::vector<BackendHealthChanged>& changes) {
  removals_[entry->first] = {entry->second.backend.key(), now, std::nullopt};
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
    const auto removal = removals_.find(backend.instance);
    if (MayBeOld(now) && removal != removals_.end() &&
        removal->second.key == backend.key()) {
      removal->second.listed = backend;
      continue;
    }
    Backend updated = backend;
    const auto found = entries_.find(backend.instance);
    if (MayBeOld(now) && found != entries_.end()) {
      const Backend& known = found->second.backend;
      if (backend.started_at_ms < known.started_at_ms) {
        continue;
      }
      updated.draining =
          updated.draining || (known.draining && known.key() == backend.key());
    }
    for (BackendHealthChanged& change : OnUpdated(updated)) {
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
  removals_.erase(backend.instance);
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
    entry.leaving = false;
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
    const auto removal = removals_.find(instance);
    if (removal != removals_.end()) {
      removal->second.listed.reset();
    }
    return changes;
  }
  Entry& entry = found->second;
  // A draining server will not register again.
  if (RegistrationsMayHaveLapsed(now) && !entry.backend.draining) {
    entry.missing_since = entry.missing_since.value_or(now);
    return changes;
  }
  RemoveEntry(found, now, "not registered", changes);
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

void BackendDirectory::OnStoreReturned(base::Millis now) {
  store_available_since_ = now;
  store_returned_at_ = now;
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

std::vector<BackendHealthChanged> BackendDirectory::MarkLeaving(
    const Backend& backend) {
  std::vector<BackendHealthChanged> changes;
  const auto found = entries_.find(backend.instance);
  if (found != entries_.end() && found->second.backend.key() == backend.key() &&
      !found->second.leaving) {
    found->second.leaving = true;
    changes.push_back(
        MakeChange(backend, Health::kDraining, "stated in an answer"));
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
      RemoveEntry(entry, now, "did not register again", changes);
    }
    entry = next;
  }
  std::vector<Backend> still_listed;
  for (auto removal = removals_.begin(); removal != removals_.end();) {
    const bool has_returned = !MayBeOld(now) && removal->second.listed;
    if (has_returned) {
      still_listed.push_back(*removal->second.listed);
    }
    const bool is_over = now - removal->second.at >= kRemovalRetention;
    removal =
        has_returned || is_over ? removals_.erase(removal) : std::next(removal);
  }
  for (const Backend& backend : still_listed) {
    for (BackendHealthChanged& change : OnUpdated(backend)) {
      changes.push_back(std::move(change));
    }
  }
  return changes;
}

bool BackendDirectory::TakesWork(const Entry& entry) {
  return !entry.backend.draining && !entry.replaced && !entry.leaving;
}

void BackendDirectory::SetEvacuations(
    std::set<base::DataCentreId> data_centres) {
  evacuations_ = std::move(data_centres);
}

std::vector<DataCentreStateChanged> BackendDirectory::ApplyEvacuations(
    base::Millis now) {
  std::vector<DataCentreStateChanged> changes;
  if (evacuations_ == evacuated_) {
    return changes;
  }
  const auto record = [this, &changes](const base::DataCentreId& data_centre,
                                       bool is_evacuated) {
    const auto servers = std::count_if(
        entries_.begin(), entries_.end(), [&data_centre](const auto& entry) {
          return entry.second.backend.data_centre == data_centre;
        });
    changes.push_back(
        {data_centre, is_evacuated, static_cast<size_t>(servers)});
  };
  for (const base::DataCentreId& data_centre : evacuations_) {
    if (evacuated_.insert(data_centre).second) {
      record(data_centre, true);
    }
  }
  if (MayBeOld(now)) {
    return changes;
  }
  for (const base::DataCentreId& data_centre : evacuated_) {
    if (evacuations_.count(data_centre) == 0) {
      record(data_centre, false);
    }
  }
  evacuated_ = evacuations_;
  return changes;
}

bool BackendDirectory::HasEvacuatedBackends(
    const base::ServiceId& service) const {
  return !evacuated_.empty() &&
         std::any_of(entries_.begin(), entries_.end(),
                     [this, &service](const auto& entry) {
                       const Backend& backend = entry.second.backend;
                       return backend.service == service &&
                              TakesWork(entry.second) &&
                              evacuated_.count(backend.data_centre) > 0;
                     });
}

std::vector<const Backend*> BackendDirectory::RegisteredBackends() const {
  std::vector<const Backend*> registered;
  registered.reserve(entries_.size());
  for (const auto& [instance, entry] : entries_) {
    registered.push_back(&entry.backend);
  }
  return registered;
}

const Backend* BackendDirectory::FindByKey(const std::string& key) const {
  const auto found = entries_.find(key.substr(0, key.rfind('@')));
  return found != entries_.end() && found->second.backend.key() == key
             ? &found->second.backend
             : nullptr;
}

std::set<std::string> BackendDirectory::Keys() const {
  std::set<std::string> keys;
  for (const auto& [instance, entry] : entries_) {
    keys.insert(entry.backend.key());
  }
  return keys;
}

std::vector<const Backend*> BackendDirectory::UsableBackends(
    const base::ServiceId& service) const {
  std::vector<const Backend*> usable;
  for (const auto& [instance, entry] : entries_) {
    if (entry.backend.service == service && TakesWork(entry) &&
        evacuated_.count(entry.backend.data_centre) == 0) {
      usable.push_back(&entry.backend);
    }
  }
  return usable;
}

}  // namespace godwit::dispatch
