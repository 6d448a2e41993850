#ifndef LEDGER_PEER_H_
#define LEDGER_PEER_H_

#include <cstdint>
#include <tuple>

#include "base/endpoint.h"
#include "base/ids.h"

namespace godwit::ledger {

// A router of the fleet that lends tokens to others.
struct Peer {
  base::ProcessId process;
  // Its current incarnation.
  base::Incarnation incarnation;
  // Address at which it receives datagrams of other routers.
  base::Endpoint address;
  // Processor share of its VM, in thousandths of a core.
  int64_t millicores = 1000;
  // Era of the KV in which it has written to the ledger what it knew.
  int64_t era = 0;

  friend bool operator==(const Peer& a, const Peer& b) {
    return std::tie(a.process, a.incarnation, a.address, a.millicores, a.era) ==
           std::tie(b.process, b.incarnation, b.address, b.millicores, b.era);
  }
  friend bool operator!=(const Peer& a, const Peer& b) { return !(a == b); }
};

}  // namespace godwit::ledger

#endif  // LEDGER_PEER_H_
