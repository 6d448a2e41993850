#ifndef CONFIG_ORGANISATION_H_
#define CONFIG_ORGANISATION_H_

#include <cstdint>
#include <string>
#include <tuple>
#include <vector>

#include "base/ids.h"

namespace godwit::config {

// An organisation that may call, with its limits.
struct Organisation {
  // Its name.
  base::OrganisationId id;
  // Lower-case hex SHA-256 of each accepted API key.
  std::vector<std::string> api_key_hashes;
  // The prepaid budget that its requests draw on.
  base::BudgetId budget;
  // Rate limit over one router; 0 for none.
  int64_t max_requests_per_second = 0;
  // Limit of requests in progress over one router; 0 for none.
  int64_t max_concurrent = 0;
  // Services it may call; empty for all.
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
