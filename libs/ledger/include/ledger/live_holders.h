#ifndef LEDGER_LIVE_HOLDERS_H_
#define LEDGER_LIVE_HOLDERS_H_

#include <set>

#include "base/ids.h"

namespace godwit::ledger {

// Event: router incarnations whose lease key exists, as just read from the KV.
// Grants of others are recovered.
struct LiveHolders {
  // All of them, this router included if its lease stands.
  std::set<base::Incarnation> holders;

  friend bool operator==(const LiveHolders& a, const LiveHolders& b) {
    return a.holders == b.holders;
  }
  friend bool operator!=(const LiveHolders& a, const LiveHolders& b) {
    return !(a == b);
  }
};

}  // namespace godwit::ledger

#endif  // LEDGER_LIVE_HOLDERS_H_
