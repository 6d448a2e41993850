#ifndef ROUTING_PICK_REFUSAL_H_
#define ROUTING_PICK_REFUSAL_H_

#include "base/error_kind.h"
#include "base/millis.h"

namespace godwit::routing {

// Why no agent was chosen for a request.
struct PickRefusal {
  // kUnavailable: no candidate is left. kOverloaded: none is expected to meet
  // the deadline.
  base::ErrorKind kind = base::ErrorKind::kUnavailable;
  // Delay after which to retry; above zero.
  base::Millis retry_after;
};

}  // namespace godwit::routing

#endif  // ROUTING_PICK_REFUSAL_H_
