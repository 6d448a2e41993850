#include "dispatch/backend_directory.h"

#include <iterator>
#include <set>

namespace godwit::dispatch {
namespace {

using Belief = BeliefChanged::Belief;

// Live servers are registered again about two seconds after the store's return.
constexpr base::Millis kReturnTime(2000);

BeliefChanged ChangeOf(const Backend& backend,
                       Belief belief,
                       std::string reason) {
  return {belief, backend.instance, backend.service, std::move(reason)};
}

}  // namespace

bool BackendDirectory::MayHaveLapsed(base::Millis now) const {
  return store_away_ || (found_at_ && now - *found_at_ < kReturnTime);
}

void BackendDirectory::Drop(std::map<std::string, Entry>::iterator entry,
                            const char* reason,
                            std::vector<BeliefChanged>& changes) {
  changes.push_back(ChangeOf(entry->second.backend, Belief::kGone, reason));
  entries_.erase(entry);
}

std::vector<BeliefChanged> BackendDirectory::Listed(
    base::Millis now,
    const std::vector<Backend>& backends) {
  known_ = true;
  std::vector<BeliefChanged> changes;
  std::set<std::string> listed;
  for (const Backend& backend : backends) {
    listed.insert(backend.instance);
    for (BeliefChanged& change : Changed(backend)) {
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
    for (BeliefChanged& change : Removed(now, instance)) {
      changes.push_back(std::move(change));
    }
  }
  return changes;
}

std::vector<BeliefChanged> BackendDirectory::Changed(const Backend& backend) {
  std::vector<BeliefChanged> changes;
  const auto found = entries_.find(backend.instance);
  if (found == entries_.end()) {
    entries_[backend.instance].backend = backend;
    changes.push_back(
        ChangeOf(backend, backend.draining ? Belief::kDraining : Belief::kAdded,
                 "registered"));
    return changes;
  }
  Entry& entry = found->second;
  const bool is_restart = entry.backend.key() != backend.key();
  if (is_restart || entry.backend.address != backend.address) {
    entry.replaced = false;
    changes.push_back(ChangeOf(backend, Belief::kAdded, "restarted"));
  } else if (backend.draining && !entry.backend.draining) {
    changes.push_back(ChangeOf(backend, Belief::kDraining, "registered"));
  }
  entry.backend = backend;
  entry.missing_since.reset();
  return changes;
}

std::vector<BeliefChanged> BackendDirectory::Removed(
    base::Millis now,
    const std::string& instance) {
  std::vector<BeliefChanged> changes;
  const auto found = entries_.find(instance);
  if (found == entries_.end()) {
    return changes;
  }
  Entry& entry = found->second;
  // A server that drains has no reason to register again.
  if (MayHaveLapsed(now) && !entry.backend.draining) {
    entry.missing_since = entry.missing_since.value_or(now);
    return changes;
  }
  Drop(found, "not registered", changes);
  return changes;
}

void BackendDirectory::StoreLost() {
  store_away_ = true;
}

void BackendDirectory::StoreFound(base::Millis now) {
  if (store_away_) {
    store_away_ = false;
    found_at_ = now;
  }
}

std::vector<BeliefChanged> BackendDirectory::SeenReplaced(
    const std::string& instance) {
  std::vector<BeliefChanged> changes;
  const auto found = entries_.find(instance);
  if (found != entries_.end() && !found->second.replaced) {
    found->second.replaced = true;
    changes.push_back(ChangeOf(found->second.backend, Belief::kGone,
                               "another server has its address"));
  }
  return changes;
}

std::vector<BeliefChanged> BackendDirectory::Tick(base::Millis now) {
  std::vector<BeliefChanged> changes;
  if (MayHaveLapsed(now)) {
    return changes;
  }
  for (auto entry = entries_.begin(); entry != entries_.end();) {
    const auto next = std::next(entry);
    if (entry->second.missing_since) {
      Drop(entry, "did not register again", changes);
    }
    entry = next;
  }
  return changes;
}

std::vector<const Backend*> BackendDirectory::Usable(
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
