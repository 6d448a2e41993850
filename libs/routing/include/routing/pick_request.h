#ifndef ROUTING_PICK_REQUEST_H_
#define ROUTING_PICK_REQUEST_H_

#include <cstdint>
#include <vector>

#include "base/digest.h"
#include "base/ids.h"
#include "base/millis.h"

namespace godwit::routing {

// The properties of a request that its placement depends on.
struct PickRequest {
  // Digests of the prompt's growing prefixes, shortest first; see
  // PrefixBlocks. Empty for plain services.
  std::vector<base::Digest> prefix_blocks;
  // Higher goes first; 0 to 100.
  int64_t priority = 50;
  // Time left until the deadline of the first answer byte.
  base::Millis deadline_in{30000};
  // Estimated number of prompt tokens; 0 for plain services.
  base::Tokens prompt_tokens = 0;
  // Agents not to use, such as those that failed this request.
  std::vector<base::Incarnation> exclude;
};

}  // namespace godwit::routing

#endif  // ROUTING_PICK_REQUEST_H_
