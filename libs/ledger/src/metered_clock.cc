// Clocks of a MeteredBudgetManager, and what they tell of an earlier
// incarnation.
#include <algorithm>
#include <variant>

#include "metered_state.h"

namespace godwit::ledger {

void MeteredBudgetManager::State::Begin(base::Millis now) {
  now_ = now;
  started_at_ = started_at_.value_or(now);
}

base::Millis MeteredBudgetManager::State::WallTime() const {
  return clock_offset_ ? now_ + *clock_offset_ : base::Millis();
}

void MeteredBudgetManager::State::RecordClock(const PeerMessage& message) {
  const Peer* sender = nullptr;
  base::Millis wall_time;
  if (const auto* hello = std::get_if<PeerHello>(&message)) {
    sender = &hello->peer;
    wall_time = hello->wall_time;
  } else if (const auto* request = std::get_if<LoanRequest>(&message)) {
    sender = PeerOf(request->borrower);
    wall_time = request->wall_time;
  } else if (const auto* reply = std::get_if<LoanReply>(&message)) {
    sender = PeerOf(reply->lender);
    wall_time = reply->wall_time;
  }
  if (sender != nullptr) {
    fleet_clock_.Record(now_, sender->process, wall_time);
  }
}

void MeteredBudgetManager::State::AskForClocks(base::Millis now) {
  if (!promises_.known() || now < next_clock_request_at_ ||
      EarlierLifetime(now).is_decided) {
    return;
  }
  next_clock_request_at_ = now + policy_.clock_request_interval;
  clocks_asked_at_ = clocks_asked_at_.value_or(now);
  const WallClocks& earlier = promises_.EarlierClocks();
  for (const Peer& peer : peers_) {
    if (peer.process != process_ && earlier.count(peer.process) > 0 &&
        wall_clocks_at_start_.count(peer.process) == 0) {
      outbox_.emplace_back(SendToPeer{peer.address, ClockRequest{self_, now}});
    }
  }
}

void MeteredBudgetManager::State::On(const base::Endpoint& from,
                                     const ClockRequest& request) {
  if (clock_offset_) {
    outbox_.emplace_back(SendToPeer{
        from,
        ClockReply{request.asker, request.asked_at, process_, WallTime()}});
  }
}

void MeteredBudgetManager::State::On(base::Millis now,
                                     const ClockReply& reply) {
  if (reply.asker != self_ || reply.asked_at < *started_at_ ||
      reply.asked_at > now) {
    return;
  }
  // The clock showed less when the request was sent.
  const base::Millis at_start =
      reply.wall_time - (reply.asked_at - *started_at_);
  const auto [entry, is_new] =
      wall_clocks_at_start_.try_emplace(reply.router, at_start);
  if (!is_new) {
    entry->second = std::min(entry->second, at_start);
  }
  fleet_clock_.Record(now, reply.router, reply.wall_time);
}

PromiseManager::Lifetime MeteredBudgetManager::State::EarlierLifetime(
    base::Millis now) const {
  if (!clock_offset_) {
    return {};
  }
  PromiseManager::Start start{*started_at_, *clock_offset_,
                              fleet_clock_.Latest(now), wall_clocks_at_start_,
                              now - clocks_asked_at_.value_or(now)};
  start.wall_clocks[process_] = *started_at_ + *clock_offset_;
  PromiseManager::Lifetime lifetime = promises_.EarlierLifetime(start);
  if (now - *started_at_ >= policy_.fleet_clock_wait) {
    lifetime.is_decided = true;
  }
  return lifetime;
}

}  // namespace godwit::ledger
