#include "kv_store.h"

#include <utility>

namespace godwit::standin {

const KvStore::Entry* KvStore::Find(const std::string& key) const {
  const auto entry = entries_.find(key);
  return entry == entries_.end() ? nullptr : &entry->second;
}

int64_t KvStore::VisibleVersion(const std::string& key) const {
  const Entry* entry = Find(key);
  return entry != nullptr && entry->value ? entry->version : 0;
}

std::map<std::string, KvStore::Entry> KvStore::FindByPrefix(
    const std::string& prefix) const {
  std::map<std::string, Entry> matches;
  for (auto entry = entries_.lower_bound(prefix); entry != entries_.end();
       ++entry) {
    if (entry->first.compare(0, prefix.size(), prefix) != 0) {
      break;
    }
    if (entry->second.value) {
      matches.insert(*entry);
    }
  }
  return matches;
}

KvStore::SetResult KvStore::Set(const std::string& key,
                                int64_t expected,
                                std::optional<std::string> value,
                                const std::string& lease) {
  if (VisibleVersion(key) != expected) {
    return SetResult::kVersionMismatch;
  }
  if (!lease.empty() && leases_.count(lease) == 0) {
    return SetResult::kUnknownLease;
  }
  Entry& entry = entries_[key];
  ++entry.version;
  entry.value = std::move(value);
  entry.lease = lease;
  return SetResult::kDone;
}

std::string KvStore::GrantLease(base::Millis now, base::Millis ttl) {
  std::string lease = "lease-" + std::to_string(++last_lease_);
  leases_[lease] = {ttl, now + ttl};
  return lease;
}

bool KvStore::RenewLease(base::Millis now, const std::string& lease) {
  const auto found = leases_.find(lease);
  if (found == leases_.end() || found->second.expires_at <= now) {
    return false;
  }
  found->second.expires_at = now + found->second.ttl;
  return true;
}

std::vector<std::string> KvStore::ExpireLeases(base::Millis now) {
  std::vector<std::string> removed;
  for (auto lease = leases_.begin(); lease != leases_.end();) {
    if (lease->second.expires_at > now) {
      ++lease;
      continue;
    }
    for (std::string& key : RemoveLeaseKeys(lease->first)) {
      removed.push_back(std::move(key));
    }
    lease = leases_.erase(lease);
  }
  return removed;
}

void KvStore::RenewAllLeases(base::Millis now) {
  for (auto& [name, lease] : leases_) {
    lease.expires_at = now + lease.ttl;
  }
}

std::vector<std::string> KvStore::RemoveLeaseKeys(const std::string& lease) {
  std::vector<std::string> removed;
  for (auto& [key, entry] : entries_) {
    if (entry.value && entry.lease == lease) {
      ++entry.version;
      entry.value.reset();
      removed.push_back(key);
    }
  }
  return removed;
}

}  // namespace godwit::standin
