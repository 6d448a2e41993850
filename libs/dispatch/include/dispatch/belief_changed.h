#ifndef DISPATCH_BELIEF_CHANGED_H_
#define DISPATCH_BELIEF_CHANGED_H_

#include <cstdint>
#include <string>

#include "base/ids.h"

namespace godwit::dispatch {

// Command: record that the router changed what it believes of a backend
// server, for logs.
struct BeliefChanged {
  enum class Belief : uint8_t {
    kAdded,
    kDraining,
    kGone,
    kEjected,
    kReadmitted
  };

  Belief belief = Belief::kAdded;
  std::string instance;
  base::ServiceId service;
  std::string reason;
};

}  // namespace godwit::dispatch

#endif  // DISPATCH_BELIEF_CHANGED_H_
