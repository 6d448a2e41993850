#ifndef DISPATCH_ENGINE_PROFILE_H_
#define DISPATCH_ENGINE_PROFILE_H_

#include <cstdint>
#include <tuple>

#include "base/ids.h"

namespace godwit::dispatch {

// The operator's description of the model engines of a service.
struct EngineProfile {
  // Maximum number of requests in one batch.
  int64_t slots = 1;
  // Tokens that fit in an engine's KV cache; 0 if not stated.
  base::Tokens kv_capacity = 0;
  // Output tokens in one event of a stream.
  int64_t tokens_per_event = 1;

  friend bool operator==(const EngineProfile& a, const EngineProfile& b) {
    return std::tie(a.slots, a.kv_capacity, a.tokens_per_event) ==
           std::tie(b.slots, b.kv_capacity, b.tokens_per_event);
  }
  friend bool operator!=(const EngineProfile& a, const EngineProfile& b) {
    return !(a == b);
  }
};

}  // namespace godwit::dispatch

#endif  // DISPATCH_ENGINE_PROFILE_H_
