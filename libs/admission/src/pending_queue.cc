#include "admission/pending_queue.h"

#include <algorithm>

namespace godwit::admission {

namespace {

constexpr int64_t kMilliPoints = 1000;
// Weight of the newest interval in the moving mean.
constexpr double kNewestWeight = 0.1;
constexpr base::Millis kMinRetryAfter{250};

}  // namespace

PendingQueue::PendingQueue(size_t max_entries) : max_entries_(max_entries) {}

std::optional<LimitRefusal> PendingQueue::Push(base::Millis now,
                                               const PendingEntry& entry) {
  const base::Millis wait = PredictedWait(now, entry.priority);
  const base::Millis overrun = now + wait - entry.deadline;
  if (entries_.size() >= max_entries_ || overrun > base::Millis(0)) {
    return LimitRefusal{base::ErrorKind::kOverloaded,
                        std::max(overrun, kMinRetryAfter)};
  }
  entries_.insert(Queued{Rank(now, entry.priority), next_sequence_++, entry});
  return std::nullopt;
}

std::optional<int64_t> PendingQueue::PopReady(base::Millis now) {
  if (entries_.empty()) {
    return std::nullopt;
  }
  const int64_t id = entries_.begin()->entry.id;
  entries_.erase(entries_.begin());
  if (last_pop_) {
    const auto interval = static_cast<double>((now - *last_pop_).count());
    pop_interval_ms_ =
        pop_interval_ms_ == 0
            ? interval
            : pop_interval_ms_ + kNewestWeight * (interval - pop_interval_ms_);
  }
  last_pop_ = entries_.empty() ? std::nullopt : std::optional(now);
  return id;
}

std::vector<int64_t> PendingQueue::Expire(base::Millis now) {
  std::vector<int64_t> expired;
  for (auto it = entries_.begin(); it != entries_.end();) {
    if (it->entry.deadline > now) {
      ++it;
      continue;
    }
    expired.push_back(it->entry.id);
    it = entries_.erase(it);
  }
  return expired;
}

bool PendingQueue::Remove(int64_t id) {
  auto it = std::find_if(
      entries_.begin(), entries_.end(),
      [id](const Queued& queued) { return queued.entry.id == id; });
  if (it == entries_.end()) {
    return false;
  }
  entries_.erase(it);
  return true;
}

base::Millis PendingQueue::PredictedWait(base::Millis now,
                                         int64_t priority) const {
  const Queued next{Rank(now, priority), next_sequence_, PendingEntry()};
  const auto ahead = static_cast<double>(
      std::distance(entries_.begin(), entries_.lower_bound(next)));
  return base::Millis(static_cast<int64_t>(ahead * pop_interval_ms_));
}

int64_t PendingQueue::Rank(base::Millis now, int64_t priority) {
  // Entries gain a point for each 1/kAgeingPerSecond s of waiting. The order is
  // the same if later arrivals lose these points instead, which needs no
  // updates.
  return priority * kMilliPoints - now.count() * kAgeingPerSecond;
}

}  // namespace godwit::admission
