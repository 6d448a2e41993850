#ifndef ROUTING_PICK_REFUSAL_H_
#define ROUTING_PICK_REFUSAL_H_

#include "base/error_kind.h"
#include "base/millis.h"

namespace godwit::routing {

// Why a request goes nowhere.
struct PickRefusal {
  // kUnavailable: no candidate is left. kOverloaded: none is expected to make
  // the deadline.
  base::ErrorKind kind = base::ErrorKind::kUnavailable;
  // When to come back; above zero.
  base::Millis retry_after;
};

}  // namespace godwit::routing

#endif  // ROUTING_PICK_REFUSAL_H_
