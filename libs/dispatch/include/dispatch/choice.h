#ifndef DISPATCH_CHOICE_H_
#define DISPATCH_CHOICE_H_

#include <cstdint>

#include "base/ids.h"
#include "base/millis.h"
#include "dispatch/backend.h"

namespace godwit::dispatch {

// Result of Placement::Choose().
struct Choice {
  enum class Kind : uint8_t {
    kPlaced,
    // All servers are at capacity.
    kNoCapacity,
    // No server can be used.
    kNoBackend,
    // The request needs more memory than any server has.
    kTooLarge,
  };

  Kind kind = Kind::kNoBackend;
  // Set when placed.
  Backend backend;
  // Expected time to the first answer byte.
  base::Millis expected;
  // Prompt tokens that the server does not have cached.
  base::Tokens uncached = 0;
};

}  // namespace godwit::dispatch

#endif  // DISPATCH_CHOICE_H_
