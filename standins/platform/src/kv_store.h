#ifndef KV_STORE_H_
#define KV_STORE_H_

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "base/millis.h"

namespace godwit::standin {

// Keys with versions that never decrease, and leases that remove their keys
// when they expire.
class KvStore {
 public:
  enum class SetResult : uint8_t { kDone, kVersionMismatch, kUnknownLease };

  struct Entry {
    int64_t version = 0;
    // Empty if the key does not exist.
    std::optional<std::string> value;
    std::string lease;
  };

  // Null if the key was never written.
  const Entry* Find(const std::string& key) const;
  // 0 if the key does not exist.
  int64_t VisibleVersion(const std::string& key) const;
  std::map<std::string, Entry> FindByPrefix(const std::string& prefix) const;

  // Sets the value, or removes the key if `value` is empty, provided that the
  // key has the visible version `expected`.
  SetResult Set(const std::string& key,
                int64_t expected,
                std::optional<std::string> value,
                const std::string& lease);

  std::string GrantLease(base::Millis now, base::Millis ttl);
  // False if the lease is unknown or has expired.
  bool RenewLease(base::Millis now, const std::string& lease);
  // Removes expired leases with their keys, and returns these keys.
  std::vector<std::string> ExpireLeases(base::Millis now);
  // Restarts the time to live of every lease.
  void RenewAllLeases(base::Millis now);

 private:
  struct Lease {
    base::Millis ttl;
    base::Millis expires_at;
  };

  std::vector<std::string> RemoveLeaseKeys(const std::string& lease);

  std::map<std::string, Entry> entries_;
  std::map<std::string, Lease> leases_;
  int64_t last_lease_ = 0;
};

}  // namespace godwit::standin

#endif  // KV_STORE_H_
