#ifndef ROUTING_PICK_REQUEST_H_
#define ROUTING_PICK_REQUEST_H_

#include <cstdint>
#include <vector>

#include "base/digest.h"
#include "base/ids.h"
#include "base/millis.h"

namespace godwit::routing {

// What the picker knows of a request.
struct PickRequest {
  // Digests of the prompt's growing prefixes, shortest first; see
  // PrefixBlocks. Empty for plain services.
  std::vector<base::Digest> prefix_blocks;
  // Higher goes first; 0 to 100.
  int64_t priority = 50;
  // Time left until the first answer byte is useless.
  base::Millis deadline_in{30000};
  // Estimate of the prompt's tokens; 0 for plain services.
  base::Tokens prompt_tokens = 0;
  // Agents not to use, such as those that failed this request.
  std::vector<base::Incarnation> exclude;
};

}  // namespace godwit::routing

#endif  // ROUTING_PICK_REQUEST_H_
