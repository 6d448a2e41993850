#ifndef ROUTING_CANDIDATE_H_
#define ROUTING_CANDIDATE_H_

#include <cstdint>

#include "base/ids.h"

namespace godwit::routing {

// An agent that a request may be sent to.
struct Candidate {
  base::Incarnation agent;
  base::DataCentreId data_centre;
  // Requests that its backend server runs concurrently; at least 1.
  int64_t max_running = 1;
};

}  // namespace godwit::routing

#endif  // ROUTING_CANDIDATE_H_
