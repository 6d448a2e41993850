// Clocks of a MeteredBudgetManager, and what they tell of an earlier
// incarnation.
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
  } else {
    const auto& reply = std::get<LoanReply>(message);
    sender = PeerOf(reply.lender);
    wall_time = reply.wall_time;
  }
  if (sender != nullptr) {
    fleet_clock_.Record(now_, sender->process, wall_time);
  }
}

PromiseManager::Lifetime MeteredBudgetManager::State::EarlierLifetime(
    base::Millis now) const {
  if (!clock_offset_) {
    return {};
  }
  PromiseManager::Lifetime lifetime = promises_.EarlierLifetime(
      *started_at_, *clock_offset_, fleet_clock_.Latest(now));
  if (now - *started_at_ >= policy_.fleet_clock_wait) {
    lifetime.is_decided = true;
  }
  return lifetime;
}

}  // namespace godwit::ledger
