#ifndef LEDGER_LIVE_HOLDERS_LISTED_H_
#define LEDGER_LIVE_HOLDERS_LISTED_H_

#include <set>

#include "base/ids.h"

namespace godwit::ledger {

// Event: lists the router incarnations whose lease key exists, as just read
// from the KV. Grants of other incarnations are recovered.
struct LiveHoldersListed {
  // All of them, including this router if its lease exists.
  std::set<base::Incarnation> holders;

  friend bool operator==(const LiveHoldersListed& a,
                         const LiveHoldersListed& b) {
    return a.holders == b.holders;
  }
  friend bool operator!=(const LiveHoldersListed& a,
                         const LiveHoldersListed& b) {
    return !(a == b);
  }
};

}  // namespace godwit::ledger

#endif  // LEDGER_LIVE_HOLDERS_LISTED_H_
