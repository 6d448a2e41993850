#ifndef DISPATCH_PLACEMENT_REQUEST_H_
#define DISPATCH_PLACEMENT_REQUEST_H_

#include <optional>
#include <string>
#include <vector>

#include "base/ids.h"
#include "base/millis.h"
#include "dispatch/engine_profile.h"
#include "dispatch/prompt.h"

namespace godwit::dispatch {

// The properties of a request that its placement depends on.
struct PlacementRequest {
  base::ServiceId service;
  // Null for plain services.
  const Prompt* prompt = nullptr;
  // Longest acceptable pause between events of the service's streams.
  base::Millis event_gap_objective{1000};
  // Longest acceptable time to the first byte.
  base::Millis latency_objective{600};
  // The service's engines; empty if the operator doesn't describe them.
  std::optional<EngineProfile> engine;
  // Keys of servers at which an attempt of this request failed.
  std::vector<std::string> exclude;
};

}  // namespace godwit::dispatch

#endif  // DISPATCH_PLACEMENT_REQUEST_H_
