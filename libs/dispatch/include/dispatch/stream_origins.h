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

#include "base/digest.h"
#include "base/endpoint.h"
#include "base/ids.h"
#include "base/millis.h"
#include "dispatch/backend.h"
#include "dispatch/stored_versions.h"
#include "dispatch/stream_origin.h"
#include "dispatch/version_register.h"

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
  // The list of versions that recently served was stored; it `is_complete` if
  // no other served for longer than streams last.
  void OnStored(base::Millis now,
                const VersionsByService& versions,
                bool is_complete);
  // What this router knows of the versions that serve.
  VersionRegister::Known Known(base::Millis now) const;
  // This router follows the registry, or stopped to do so.
  void SetFollowing(bool is_following) { is_following_ = is_following; }
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
  // The other routers that keep the origin of a stream, and those that may keep
  // it for any router, which leaves itself out.
  std::vector<base::Endpoint> KeepersOf(const std::string& request_id) const;
  std::vector<base::Endpoint> PossibleKeepersOf(
      const std::string& request_id) const;

 private:
  // When a server of each version was last registered.
  using LastRegistered = std::map<std::string, base::Millis>;

  // True if no other versions recently served than this router knows of.
  bool KnowsAll(base::Millis now) const;
  // The versions of all services that were registered within `span`.
  VersionsByService RegisteredWithin(base::Millis now, base::Millis span) const;
  // The first `count` other routers by rendezvous hashing of the stream.
  std::vector<base::Endpoint> RankedFirst(const std::string& request_id,
                                          size_t count) const;
  static std::set<std::string> RegisteredWithin(
      base::Millis now,
      base::Millis span,
      const LastRegistered& registered);
  void Expire(base::Millis now);

  const FleetMembers& members_;
  std::map<base::ServiceId, LastRegistered> services_;
  std::optional<base::Millis> first_listed_at_;
  // What served before this router started is known.
  bool knows_earlier_ = false;
  bool is_following_ = true;
  // By digest: an id may be as long as a head.
  std::unordered_map<base::Digest, std::string> versions_by_request_;
  // Order in which the records expire.
  std::deque<std::pair<base::Millis, base::Digest>> expiries_;
};

}  // namespace godwit::dispatch

#endif  // DISPATCH_STREAM_ORIGINS_H_
