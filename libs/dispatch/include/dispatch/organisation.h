#ifndef DISPATCH_ORGANISATION_H_
#define DISPATCH_ORGANISATION_H_

#include <cstdint>
#include <optional>
#include <string>
#include <tuple>
#include <vector>

#include "base/ids.h"

namespace godwit::dispatch {

// A customer of the operator, with the API keys of its callers.
struct Organisation {
  base::OrganisationId id;
  std::vector<std::string> api_keys;
  // Takes precedence over the priority of a route; 0 is the most urgent.
  std::optional<int64_t> priority;
  // Total tokens that it may use; empty for no limit.
  std::optional<base::Tokens> prepaid;

  friend bool operator==(const Organisation& a, const Organisation& b) {
    return std::tie(a.id, a.api_keys, a.priority, a.prepaid) ==
           std::tie(b.id, b.api_keys, b.priority, b.prepaid);
  }
  friend bool operator!=(const Organisation& a, const Organisation& b) {
    return !(a == b);
  }
};

}  // namespace godwit::dispatch

#endif  // DISPATCH_ORGANISATION_H_
