#include "crash_evidence.h"

#include <algorithm>

namespace godwit::dispatch {
namespace {

// Older losses beyond this number add nothing to the evidence.
constexpr size_t kMaxLosses = 16;

}  // namespace

void CrashEvidence::Add(const Loss& loss) {
  Loss merged = loss;
  const auto known = std::find_if(
      losses_.begin(), losses_.end(),
      [&loss](const Loss& l) { return l.backend == loss.backend; });
  if (known != losses_.end()) {
    merged.started_at = std::max(known->started_at, loss.started_at);
    merged.lost_at = std::min(known->lost_at, loss.lost_at);
    losses_.erase(known);
  }
  const auto after = std::upper_bound(
      losses_.begin(), losses_.end(), merged,
      [](const Loss& a, const Loss& b) { return a.lost_at < b.lost_at; });
  losses_.insert(after, merged);
  if (losses_.size() > kMaxLosses) {
    losses_.erase(losses_.begin());
  }
}

void CrashEvidence::Retract(const std::string& backend) {
  losses_.erase(std::remove_if(losses_.begin(), losses_.end(),
                               [&backend](const Loss& loss) {
                                 return loss.backend == backend;
                               }),
                losses_.end());
}

void CrashEvidence::RemoveUntil(base::Millis answered_at) {
  losses_.erase(std::remove_if(losses_.begin(), losses_.end(),
                               [answered_at](const Loss& loss) {
                                 return loss.lost_at <= answered_at;
                               }),
                losses_.end());
}

int64_t CrashEvidence::count() const {
  int64_t count = 0;
  base::Millis counted_at;
  for (const Loss& loss : losses_) {
    if (count == 0 || loss.started_at >= counted_at) {
      ++count;
      counted_at = loss.lost_at;
    }
  }
  return count;
}

base::Millis CrashEvidence::first_lost_at() const {
  return losses_.empty() ? base::Millis() : losses_.front().lost_at;
}

base::Millis CrashEvidence::last_lost_at() const {
  return losses_.empty() ? base::Millis() : losses_.back().lost_at;
}

std::vector<std::string> CrashEvidence::Backends() const {
  std::vector<std::string> backends;
  for (const Loss& loss : losses_) {
    backends.push_back(loss.backend);
  }
  return backends;
}

}  // namespace godwit::dispatch
