#ifndef DISPATCH_ROUTING_TABLE_UPDATED_H_
#define DISPATCH_ROUTING_TABLE_UPDATED_H_

#include <memory>

namespace godwit::dispatch {

class RoutingTable;

// Event: a version of the configuration was read.
struct RoutingTableUpdated {
  std::shared_ptr<const RoutingTable> table;
};

}  // namespace godwit::dispatch

#endif  // DISPATCH_ROUTING_TABLE_UPDATED_H_
