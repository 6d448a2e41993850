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

// A service that callers may name.
struct Service {
  // Its name.
  base::ServiceId id;
  // What its backend servers are.
  ServiceKind kind = ServiceKind::kPlain;
  // Model pools: the model name that callers send.
  std::string model;
  // Names of the agents before its backend servers.
  std::vector<base::ProcessId> backend_servers;
  // Services that must be up for this one to serve.
  std::vector<base::ServiceId> depends_on;
  // Plain services: tokens billed for each answered call.
  base::Tokens call_cost = 1;
  // Model pools: cap on generated tokens, and the default.
  base::Tokens max_output_tokens = 1024;
  // Requests that one backend server runs at once.
  int64_t max_running = 32;
  // Objective that reports measure against.
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
