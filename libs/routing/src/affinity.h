#ifndef ROUTING_AFFINITY_H_
#define ROUTING_AFFINITY_H_

#include <vector>

#include "option.h"

namespace godwit::routing {

struct PickRequest;

// The option that most likely holds the prompt's prefix in its cache, or null.
// Options with more runs than `load_bound` times the mean don't count.
const Option* AffineOption(const PickRequest& request,
                           const std::vector<Option>& options,
                           double load_bound);

}  // namespace godwit::routing

#endif  // ROUTING_AFFINITY_H_
