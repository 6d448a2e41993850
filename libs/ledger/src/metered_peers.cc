// The routers of the fleet as a MeteredBudgetManager knows them.
#include <algorithm>
#include <limits>
#include <set>
#include <utility>

#include "lender_ranking.h"
#include "metered_state.h"

namespace godwit::ledger {
namespace {

// Number of a reply that answers no request. Zero is that of replies of earlier
// versions.
constexpr int64_t kNoLoanRequest = std::numeric_limits<int64_t>::max();

}  // namespace

void MeteredBudgetManager::State::SetPeers(base::Millis now,
                                           const std::vector<Peer>& listed) {
  std::vector<base::Endpoint> discovered;
  for (const Peer& peer : listed) {
    const auto [entry, is_new] = known_peers_.try_emplace(peer.process);
    KnownPeer& known = entry->second;
    const bool has_recent_hello =
        known.hello_received_at &&
        now - *known.hello_received_at < policy_.hello_validity;
    known.last_confirmed_at = now;
    if (is_new || !has_recent_hello) {
      known.peer = peer;
    }
    if (is_new && peer.process != process_) {
      discovered.push_back(peer.address);
    }
  }
  peers_.clear();
  std::set<base::Incarnation> incarnations;
  for (auto entry = known_peers_.begin(); entry != known_peers_.end();) {
    if (now - entry->second.last_confirmed_at >= policy_.missing_timeout) {
      entry = known_peers_.erase(entry);
      continue;
    }
    peers_.push_back(entry->second.peer);
    incarnations.insert(entry->second.peer.incarnation);
    ++entry;
  }
  loans_.RetainBorrowers(incarnations);
  for (const Peer& peer : listed) {
    RecordPeerEra(now, peer);
  }
  ForgetOldReports(now);
  RankLenders();
  if (IsAnyLender()) {
    // Their lists may not contain this incarnation for some seconds.
    for (const base::Endpoint& address : discovered) {
      SendHello(address);
    }
  }
}

bool MeteredBudgetManager::State::IsAnyLender() const {
  return std::any_of(
      shards_.begin(), shards_.end(), [this](const Shard& shard) {
        return std::any_of(
            shard.lenders.begin(), shard.lenders.end(),
            [this](const Peer& peer) { return peer.process == process_; });
      });
}

void MeteredBudgetManager::State::RankLenders() {
  for (size_t i = 0; i < shards_.size(); ++i) {
    shards_[i].lenders = ledger::RankLenders(i, peers_, policy_.max_lenders);
  }
}

void MeteredBudgetManager::State::SendHello(const base::Endpoint& to) {
  const Peer* const self = PeerOf(self_);
  if (self != nullptr) {
    Peer announced = *self;
    announced.era = merged_era_;
    outbox_.emplace_back(
        SendToPeer{to, PeerHello{std::move(announced), WallTime()}});
  }
}

// What this router draws between a copy and a return of the KV is lost with it
// unless another router knows. The other lenders of the shard are told while
// the draw is written, so that they know before it is used, and again if
// another write came first.
void MeteredBudgetManager::State::AnnounceBounds(Shard& shard) {
  shard.has_new_bounds = false;
  for (MeteredBudget* const budget : shard.budgets) {
    const base::Tokens bound = BoundOf(*budget).amount;
    if (bound == budget->announced_bound) {
      continue;
    }
    budget->announced_bound = bound;
    for (const Peer& peer : shard.lenders) {
      if (peer.process != process_) {
        Reply(peer.address, *budget, peer.incarnation, kNoLoanRequest,
              LoanReply::State::kLent, base::Millis());
      }
    }
  }
}

void MeteredBudgetManager::State::On(base::Millis now, const PeerHello& hello) {
  const base::ProcessId& process = hello.peer.process;
  if (process == process_ || peers_.empty()) {
    return;
  }
  known_peers_[process] = {hello.peer, now, now};
  RecordPeerEra(now, hello.peer);
  unresponsive_until_.erase(process);
  const auto found = std::find_if(
      peers_.begin(), peers_.end(),
      [&process](const Peer& peer) { return peer.process == process; });
  if (found == peers_.end()) {
    peers_.push_back(hello.peer);
  } else if (*found != hello.peer) {
    *found = hello.peer;
  } else {
    return;
  }
  RankLenders();
}

bool MeteredBudgetManager::State::IsLender(const Shard& shard) const {
  return shard.lenders.empty() || shard.lenders.front().process == process_;
}

const Peer* MeteredBudgetManager::State::PeerOf(
    const base::Incarnation& incarnation) const {
  const auto found = std::find_if(
      peers_.begin(), peers_.end(),
      [&](const Peer& peer) { return peer.incarnation == incarnation; });
  return found == peers_.end() ? nullptr : &*found;
}

}  // namespace godwit::ledger
