#ifndef LEDGER_LENDER_RANKING_H_
#define LEDGER_LENDER_RANKING_H_

#include <cstddef>
#include <vector>

#include "ledger/peer.h"

namespace godwit::ledger {

// Returns at most `count` of the routers that lend from a ledger key, in order
// of preference: the same at all routers that know the same fleet. Lending
// takes a lender as much processor time on a small VM as on a large one, where
// it matters less, so that large VMs are preferred.
std::vector<Peer> RankLenders(size_t shard,
                              const std::vector<Peer>& routers,
                              size_t count);

}  // namespace godwit::ledger

#endif  // LEDGER_LENDER_RANKING_H_
