#ifndef DISPATCH_STORED_VERSIONS_H_
#define DISPATCH_STORED_VERSIONS_H_

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <tuple>

#include "base/ids.h"

namespace godwit::dispatch {

// Software versions of the servers of each service.
using VersionsByService = std::map<base::ServiceId, std::set<std::string>>;

// Value of the KV key that lists the software versions that recently served,
// for routers that have just started.
struct StoredVersions {
  // The era of the KV in which a router last found the list to be complete. A
  // list of an earlier era may lack versions.
  int64_t era = 0;
  VersionsByService services;

  friend bool operator==(const StoredVersions& a, const StoredVersions& b) {
    return std::tie(a.era, a.services) == std::tie(b.era, b.services);
  }
  friend bool operator!=(const StoredVersions& a, const StoredVersions& b) {
    return !(a == b);
  }
};

// Encodes StoredVersions as CBOR and decodes them.
class StoredVersionsCodec {
 public:
  std::string Encode(const StoredVersions& versions) const;
  // Bytes that are malformed, or empty because the key does not exist, decode
  // to an empty list of era -1, which is complete in no era.
  std::optional<StoredVersions> Decode(std::string_view bytes) const;
};

}  // namespace godwit::dispatch

#endif  // DISPATCH_STORED_VERSIONS_H_
