#ifndef DISPATCH_ROUTING_TABLE_H_
#define DISPATCH_ROUTING_TABLE_H_

#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "base/ids.h"
#include "dispatch/caller_limits.h"
#include "dispatch/organisation.h"
#include "dispatch/route.h"
#include "dispatch/service_profile.h"
#include "platform/kv_version.h"

namespace godwit::dispatch {

// One version of the operator's configuration, as the direct router uses it.
// Immutable and thread-safe.
class RoutingTable {
 public:
  struct Contents {
    // Grows with each version.
    int64_t version = 0;
    // Revision of the stored value that the configuration was read from.
    platform::KvVersion revision;
    std::vector<Route> routes;
    std::vector<ServiceProfile> services;
    std::vector<Organisation> organisations;
    // False if no request needs an API key.
    bool requires_api_key = false;
    CallerLimits limits;
  };

  explicit RoutingTable(Contents contents);

  int64_t version() const noexcept { return contents_.version; }
  const platform::KvVersion& revision() const noexcept {
    return contents_.revision;
  }
  const CallerLimits& limits() const noexcept { return contents_.limits; }
  bool requires_api_key() const noexcept { return contents_.requires_api_key; }
  const std::vector<Route>& routes() const noexcept { return contents_.routes; }
  const std::vector<Organisation>& organisations() const noexcept {
    return contents_.organisations;
  }

  // Returns the route of the host with the longest prefix of the path, or null
  // if none matches. A port in `host` is ignored.
  const Route* Match(std::string_view host, std::string_view path) const;
  // Returns the organisation of an API key, or null if the key is unknown.
  const Organisation* FindOrganisation(const std::string& api_key) const;
  // Returns null if the service is not described.
  const ServiceProfile* Find(const base::ServiceId& service) const;

  // Urgency of a request at backend servers, from 0 (most urgent) to 9. The
  // organisation's priority takes precedence over the route's. `organisation`
  // may be null.
  int64_t UrgencyOf(const Route& route, const Organisation* organisation) const;

 private:
  Contents contents_;
  // Keyed by host, a zero byte and prefix.
  std::unordered_map<std::string, size_t> route_index_;
  std::unordered_map<std::string, size_t> key_index_;
  std::map<base::ServiceId, size_t> service_index_;
  // Distinct pairs of organisation and route priority, most urgent first.
  std::vector<std::pair<int64_t, int64_t>> ranks_;
};

}  // namespace godwit::dispatch

#endif  // DISPATCH_ROUTING_TABLE_H_
