#ifndef CONFIG_SERVICE_H_
#define CONFIG_SERVICE_H_

#include <cstdint>
#include <string>
#include <tuple>
#include <vector>

#include "base/ids.h"
#include "config/objective.h"
#include "config/service_kind.h"

namespace godwit::config {

// A service that callers can address.
struct Service {
  // Name in the configuration.
  base::ServiceId id;
  // Type of its backend servers.
  ServiceKind kind = ServiceKind::kPlain;
  // Model pools: the model name in requests.
  std::string model;
  // Names of the agents in front of its backend servers.
  std::vector<base::ProcessId> backend_servers;
  // Services that must be available for this one to serve.
  std::vector<base::ServiceId> depends_on;
  // Plain services: tokens billed for each answered call.
  base::Tokens call_cost = 1;
  // Model pools: limit of generated tokens for each request, and its default.
  base::Tokens max_output_tokens = 1024;
  // Maximum number of requests that one backend server runs concurrently.
  int64_t max_running = 32;
  // Objective that reports compare measurements with.
  Objective objective;

  friend bool operator==(const Service& a, const Service& b) {
    return std::tie(a.id, a.kind, a.model, a.backend_servers, a.depends_on,
                    a.call_cost, a.max_output_tokens, a.max_running,
                    a.objective) == std::tie(b.id, b.kind, b.model,
                                             b.backend_servers, b.depends_on,
                                             b.call_cost, b.max_output_tokens,
                                             b.max_running, b.objective);
  }
  friend bool operator!=(const Service& a, const Service& b) {
    return !(a == b);
  }
};

}  // namespace godwit::config

#endif  // CONFIG_SERVICE_H_
