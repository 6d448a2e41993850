#ifndef DISPATCH_TABLE_SEEN_H_
#define DISPATCH_TABLE_SEEN_H_

#include <memory>

namespace godwit::dispatch {

class RoutingTable;

// Event: a version of the configuration was read.
struct TableSeen {
  std::shared_ptr<const RoutingTable> table;
};

}  // namespace godwit::dispatch

#endif  // DISPATCH_TABLE_SEEN_H_
