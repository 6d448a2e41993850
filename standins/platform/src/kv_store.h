#ifndef KV_STORE_H_
#define KV_STORE_H_

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "base/millis.h"

namespace godwit::standin {

// Keys with versions that never go back, and leases that remove their keys
// when they lapse.
class KvStore {
 public:
  enum class SetResult : uint8_t { kDone, kVersionMismatch, kUnknownLease };

  struct Entry {
    int64_t version = 0;
    // Empty when the key does not exist.
    std::optional<std::string> value;
    std::string lease;
  };

  // Null when the key was never written.
  const Entry* Find(const std::string& key) const;
  // 0 when the key does not exist.
  int64_t VisibleVersion(const std::string& key) const;
  std::map<std::string, Entry> FindByPrefix(const std::string& prefix) const;

  // Sets the value, or removes the key when `value` is empty, if the key has
  // the visible version `expected`.
  SetResult Set(const std::string& key,
                int64_t expected,
                std::optional<std::string> value,
                const std::string& lease);

  std::string GrantLease(base::Millis now, base::Millis ttl);
  // False when the lease is unknown or has lapsed.
  bool RenewLease(base::Millis now, const std::string& lease);
  // Removes the keys of lapsed leases and returns their names.
  std::vector<std::string> ExpireLeases(base::Millis now);
  // Gives each lease its whole time again.
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
