#ifndef DISPATCH_ROUTERS_LISTED_H_
#define DISPATCH_ROUTERS_LISTED_H_

#include <vector>

#include "ledger/peer.h"

namespace godwit::dispatch {

// Event: the list of routers that share budgets and retries, this one
// included, was read.
struct RoutersListed {
  std::vector<ledger::Peer> routers;
};

}  // namespace godwit::dispatch

#endif  // DISPATCH_ROUTERS_LISTED_H_
