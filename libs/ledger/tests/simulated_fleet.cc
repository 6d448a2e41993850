// MeteredSimulation: what the routers know of each other, and their messages.
#include <deque>
#include <optional>
#include <utility>
#include <variant>
#include <vector>

#include "ledger/loan_reply.h"
#include "ledger/loan_request.h"
#include "metered_simulation.h"
#include "platform/era_tracker.h"
#include "simulated_router.h"

namespace godwit::ledger {
namespace {

constexpr base::Millis kPollPeriod(500);
constexpr uint64_t kMaxDelay = 12;
constexpr uint64_t kPercent = 100;

}  // namespace

// A peer's port is its index in the simulation plus one.
void MeteredSimulation::NotifyPeers() {
  // With eras, routers read the list that is stored (PollDirectory).
  if (!connected_ || (kv_.era() != 0 && !hides_eras_)) {
    return;
  }
  std::vector<Peer> peers;
  for (size_t i = 0; i < routers_.size(); ++i) {
    peers.push_back(PeerOf(i));
  }
  for (const auto& router : routers_) {
    // Routers that already know the fleet learn of new incarnations by their
    // messages.
    if (!router->knows_peers && !IsOff(*router)) {
      router->knows_peers = true;
      router->manager->SetPeers(TimeOf(*router), peers);
    }
  }
}

Peer MeteredSimulation::PeerOf(size_t index) const {
  const Router& router = *routers_[index];
  Peer peer{
      base::ProcessId(router.name),
      base::Incarnation(router.name + "." + std::to_string(router.incarnation)),
      base::Endpoint{"127.0.0.1", static_cast<uint16_t>(index + 1)}, 1000};
  peer.era = router.manager->merged_era();
  return peer;
}

void MeteredSimulation::PollDirectory(size_t index) {
  Router& router = *routers_[index];
  if (kv_.era() == 0 || hides_eras_ || router.partitioned ||
      kv_.faults().unavailable || now_ < router.next_poll_at) {
    return;
  }
  router.next_poll_at = now_ + kPollPeriod;
  CheckEra(index, kv_.era());
  directory_[index] = PeerOf(index);
  std::vector<Peer> peers;
  for (const auto& [other, peer] : directory_) {
    peers.push_back(peer);
  }
  if (connected_) {
    router.manager->SetPeers(TimeOf(router), peers);
  }
}

bool MeteredSimulation::CheckEra(size_t index, std::optional<int64_t> era) {
  if (!era || kv_.era() == 0 || hides_eras_) {
    return true;
  }
  Router& router = *routers_[index];
  switch (router.eras.OnAnswer(era)) {
    case platform::EraTracker::Verdict::kCurrent:
      return true;
    case platform::EraTracker::Verdict::kOutdated:
      return false;
    case platform::EraTracker::Verdict::kFirstEra:
    case platform::EraTracker::Verdict::kNewEra:
      break;
  }
  router.manager->SetEra(TimeOf(router), *era);
  return true;
}

void MeteredSimulation::Send(size_t index, const SendToPeer& message) {
  if (const auto* reply = std::get_if<LoanReply>(&message.message)) {
    lent_[{reply->lender, reply->borrower}] = reply->lent;
  }
  if (routers_[index]->isolated || routers_[index]->muted) {
    return;
  }
  const auto due = [this] {
    return now_ + base::Millis(static_cast<int64_t>(1 + random_() % kMaxDelay));
  };
  const auto from = static_cast<uint16_t>(index + 1);
  const auto percent = static_cast<uint64_t>(lost_percent_);
  if (random_() % kPercent >= percent) {
    datagrams_.push_back({due(), from, message});
  }
  if (random_() % kPercent < percent) {
    datagrams_.push_back({due(), from, message});
  }
}

void MeteredSimulation::Deliver() {
  std::vector<Datagram> due;
  for (size_t i = 0; i < datagrams_.size();) {
    if (datagrams_[i].due <= now_) {
      due.push_back(datagrams_[i]);
      datagrams_.erase(datagrams_.begin() + static_cast<int64_t>(i));
    } else {
      ++i;
    }
  }
  for (Datagram& datagram : due) {
    const size_t index = datagram.sent.to.port - size_t{1};
    Router& router = *routers_[index];
    auto* const request = std::get_if<LoanRequest>(&datagram.sent.message);
    if (request != nullptr && forgets_loans_) {
      request->returned =
          lent_[{request->lender, request->borrower}] - request->used;
    }
    if (!router.isolated && !IsOff(router)) {
      Submit(index,
             router.manager->On(TimeOf(router), {"127.0.0.1", datagram.from},
                                datagram.sent.message));
    }
  }
}

}  // namespace godwit::ledger
