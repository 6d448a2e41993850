#ifndef ROUTING_AFFINITY_H_
#define ROUTING_AFFINITY_H_

#include <vector>

#include "option.h"

namespace godwit::routing {

struct PickRequest;

// Returns the option that most likely has the prompt's prefix cached, or null.
// Leaves out options with more runs than one above `load_bound` times the mean.
const Option* AffineOption(const PickRequest& request,
                           const std::vector<Option>& options,
                           double load_bound);

}  // namespace godwit::routing

#endif  // ROUTING_AFFINITY_H_
