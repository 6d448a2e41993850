#ifndef DISPATCH_STREAM_ORIGINS_H_
#define DISPATCH_STREAM_ORIGINS_H_

#include <cstddef>
#include <deque>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>
#include <utility>
#include <vector>

#include "base/endpoint.h"
#include "base/ids.h"
#include "base/millis.h"
#include "dispatch/backend.h"
#include "dispatch/stream_origin.h"

namespace godwit::dispatch {

class FleetMembers;

// The software versions that began recent streams, so that a caller that takes
// one up again, at any router, gets a server of the same version. Handles
// releases during which servers of several versions serve side by side and
// routers fail: each origin is also kept at two other routers, chosen by
// rendezvous hashing of the stream. While a service has one version only,
// nothing is sent. No I/O. Not thread-safe.
class StreamOrigins {
 public:
  // `members` must outlive this object.
  explicit StreamOrigins(const FleetMembers& members);

  // A server is registered; due for each about every second. Returns true if
  // its service has several versions and had one before.
  bool OnRegistered(base::Millis now, const Backend& backend);
  // True if the service has, or recently had, servers of several versions.
  bool HasSeveralVersions(base::Millis now,
                          const base::ServiceId& service) const;

  // Records the version that began a stream.
  void Record(base::Millis now,
              const std::string& request_id,
              const std::string& software_version);
  // Returns what this router knows of a stream of a service.
  StreamOrigin Find(base::Millis now,
                    const base::ServiceId& service,
                    const std::string& request_id) const;

  // Number of records.
  size_t size() const noexcept { return versions_by_request_.size(); }
  // The other routers that keep the origin of a stream.
  std::vector<base::Endpoint> KeepersOf(const std::string& request_id) const;

 private:
  struct ServiceVersions {
    base::Millis first_listed_at;
    // When a server of each version was last registered.
    std::map<std::string, base::Millis> last_registered_at;
  };

  static std::set<std::string> RecentVersions(base::Millis now,
                                              const ServiceVersions& versions);
  void Expire(base::Millis now);

  const FleetMembers& members_;
  std::map<base::ServiceId, ServiceVersions> services_;
  std::unordered_map<std::string, std::string> versions_by_request_;
  // Order in which the records expire.
  std::deque<std::pair<base::Millis, std::string>> expiries_;
};

}  // namespace godwit::dispatch

#endif  // DISPATCH_STREAM_ORIGINS_H_
