#ifndef DISPATCH_CHOICE_H_
#define DISPATCH_CHOICE_H_

#include <cstdint>

#include "base/ids.h"
#include "base/millis.h"
#include "dispatch/backend.h"

namespace godwit::dispatch {

// Answer of a Placement.
struct Choice {
  enum class Kind : uint8_t {
    kPlaced,
    // All servers run as much as they can.
    kNoCapacity,
    // No server can be used.
    kNoBackend,
  };

  Kind kind = Kind::kNoBackend;
  // Set when placed.
  Backend backend;
  // Expected time to the first answer byte.
  base::Millis expected;
  // Tokens of the prompt that the server has to read.
  base::Tokens uncached = 0;
};

}  // namespace godwit::dispatch

#endif  // DISPATCH_CHOICE_H_
