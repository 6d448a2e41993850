#ifndef ROUTING_PICK_H_
#define ROUTING_PICK_H_

#include <variant>

#include "routing/pick_refusal.h"
#include "routing/picked_agent.h"

namespace godwit::routing {

// Result of Picker::Choose().
using Pick = std::variant<PickedAgent, PickRefusal>;

}  // namespace godwit::routing

#endif  // ROUTING_PICK_H_
