#ifndef DISPATCH_EVACUATIONS_CHANGED_H_
#define DISPATCH_EVACUATIONS_CHANGED_H_

#include <set>

#include "base/ids.h"

namespace godwit::dispatch {

// Event: the operator asked that nothing more is sent to the backend servers of
// these data centres, and of no others.
struct EvacuationsChanged {
  std::set<base::DataCentreId> data_centres;
};

}  // namespace godwit::dispatch

#endif  // DISPATCH_EVACUATIONS_CHANGED_H_
