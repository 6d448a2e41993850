#include "reservation_queue.h"

#include <iterator>

namespace godwit::ledger {

using base::Tokens;

void ReservationQueue::Add(base::Millis now,
                           const ReservationRank& rank,
                           Tokens amount) {
  waiting_[{rank, amount}] = now;
}

void ReservationQueue::Remove(const ReservationRank& rank, Tokens amount) {
  waiting_.erase({rank, amount});
}

void ReservationQueue::RemoveOlder(base::Millis time) {
  for (auto it = waiting_.begin(); it != waiting_.end();) {
    it = it->second < time ? waiting_.erase(it) : std::next(it);
  }
}

std::optional<ReservationQueue::Waiting> ReservationQueue::First() const {
  if (waiting_.empty()) {
    return std::nullopt;
  }
  const auto& [rank, amount] = waiting_.begin()->first;
  return Waiting{rank, amount};
}

Tokens ReservationQueue::Total() const {
  Tokens sum = 0;
  for (const auto& [key, repeated_at] : waiting_) {
    sum += key.second;
  }
  return sum;
}

Tokens ReservationQueue::AmountBefore(const ReservationRank& rank) const {
  Tokens sum = 0;
  for (const auto& [key, repeated_at] : waiting_) {
    if (!(key.first < rank)) {
      break;
    }
    sum += key.second;
  }
  return sum;
}

}  // namespace godwit::ledger
