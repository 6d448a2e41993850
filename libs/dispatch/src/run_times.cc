#include "run_times.h"

#include <algorithm>
#include <vector>

namespace godwit::dispatch {
namespace {

constexpr base::Millis kMaxAge(60'000);
constexpr size_t kRequests = 64;
// Routes of earlier configurations are dropped above this.
constexpr size_t kMaxRoutes = 4096;
constexpr size_t kPercent = 100;

}  // namespace

void RunTimes::OnAnswered(base::Millis now,
                          const std::string& route,
                          base::Millis time) {
  if (routes_.size() >= kMaxRoutes && routes_.count(route) == 0) {
    routes_.clear();
  }
  Route& known = routes_[route];
  known.answered_at = now;
  known.times.push_back(time);
  if (known.times.size() > kRequests) {
    known.times.pop_front();
  }
}

std::optional<base::Millis> RunTimes::Percentile(base::Millis now,
                                                 const std::string& route,
                                                 int percent) const {
  const auto found = routes_.find(route);
  if (found == routes_.end() || now - found->second.answered_at > kMaxAge) {
    return std::nullopt;
  }
  const std::deque<base::Millis>& known = found->second.times;
  std::vector<base::Millis> times(known.begin(), known.end());
  const size_t rank =
      (times.size() * static_cast<size_t>(percent) + kPercent - 1) / kPercent;
  const auto at = times.begin() + static_cast<ptrdiff_t>(rank) - 1;
  std::nth_element(times.begin(), at, times.end());
  return *at;
}

}  // namespace godwit::dispatch
