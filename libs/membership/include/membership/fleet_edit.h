#ifndef MEMBERSHIP_FLEET_EDIT_H_
#define MEMBERSHIP_FLEET_EDIT_H_

#include <variant>

#include "membership/join.h"
#include "membership/mark_leaving.h"
#include "membership/mark_removed.h"
#include "membership/prune.h"

namespace godwit::membership {

// A change of the fleet record. Edits are idempotent.
using FleetEdit = std::variant<Join, MarkLeaving, MarkRemoved, Prune>;

}  // namespace godwit::membership

#endif  // MEMBERSHIP_FLEET_EDIT_H_
