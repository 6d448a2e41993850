#ifndef CONFIG_ORGANISATION_H_
#define CONFIG_ORGANISATION_H_

#include <cstdint>
#include <string>
#include <tuple>
#include <vector>

#include "base/ids.h"

namespace godwit::config {

// An organisation whose requests are accepted, with its limits.
struct Organisation {
  // Name in the configuration.
  base::OrganisationId id;
  // Lower-case hex SHA-256 digests of the accepted API keys.
  std::vector<std::string> api_key_hashes;
  // The prepaid budget that its requests draw on.
  base::BudgetId budget;
  // Rate limit for each router; 0 for no limit.
  int64_t max_requests_per_second = 0;
  // Limit of requests in progress for each router; 0 for no limit.
  int64_t max_concurrent = 0;
  // Services that it may call; empty for all.
  std::vector<base::ServiceId> services;

  friend bool operator==(const Organisation& a, const Organisation& b) {
    return std::tie(a.id, a.api_key_hashes, a.budget, a.max_requests_per_second,
                    a.max_concurrent, a.services) ==
           std::tie(b.id, b.api_key_hashes, b.budget, b.max_requests_per_second,
                    b.max_concurrent, b.services);
  }
  friend bool operator!=(const Organisation& a, const Organisation& b) {
    return !(a == b);
  }
};

}  // namespace godwit::config

#endif  // CONFIG_ORGANISATION_H_
