#include "run_queue.h"

#include <algorithm>
#include <iterator>
#include <limits>

namespace godwit::agent {
namespace {

// Priorities beyond this limit are treated as equal.
constexpr int64_t kMaxPriority = 1000;

}  // namespace

void RunQueue::Push(base::Millis now,
                    int64_t priority,
                    const base::AttemptId& attempt) {
  const Entry entry(Rank(now, priority), arrivals_++, attempt);
  order_.insert(entry);
  entries_.emplace(attempt, entry);
}

std::optional<base::AttemptId> RunQueue::Pop() {
  if (order_.empty()) {
    return std::nullopt;
  }
  const base::AttemptId attempt = std::get<base::AttemptId>(*order_.begin());
  Remove(attempt);
  return attempt;
}

void RunQueue::Remove(const base::AttemptId& attempt) {
  const auto found = entries_.find(attempt);
  if (found != entries_.end()) {
    order_.erase(found->second);
    entries_.erase(found);
  }
}

int64_t RunQueue::CountBefore(base::Millis now, int64_t priority) const {
  const Entry entry(Rank(now, priority), std::numeric_limits<int64_t>::max(),
                    base::AttemptId());
  return std::distance(order_.begin(), order_.lower_bound(entry));
}

int64_t RunQueue::Rank(base::Millis now, int64_t priority) const noexcept {
  const int64_t bounded = std::clamp(priority, -kMaxPriority, kMaxPriority);
  return now.count() - bounded * ageing_.count();
}

}  // namespace godwit::agent
