// The limits of cold servers.
#include <algorithm>
#include <cmath>
#include <cstdint>
#include <utility>

#include "dispatch/fleet_members.h"
#include "dispatch/request_limits.h"

namespace godwit::dispatch {
namespace {

// Share of a limit that settled routers use. The window is longer than a second
// by the rest, so that requests that take up to 50 ms longer to arrive than
// others don't exceed the limit in a second.
constexpr double kUsedShare = 0.95;
// Share of that which routers use while they are not settled.
constexpr double kUnsettledShare = 0.2;
// Above any number of requests in a second.
constexpr double kMaxUnits = 1e6;
// Longer than any process runs.
constexpr double kMaxIntervalMs = 1e12;
constexpr double kMillisPerSecond = 1000;

}  // namespace

void RequestLimits::ApportionCold(base::Millis now,
                                  const std::string& key,
                                  Cold& cold) {
  const bool is_settled = members_.is_settled(now);
  const size_t routers = members_.members().size();
  if (members_.members().count(members_.self()) == 0 ||
      !(is_settled || members_.has_started())) {
    cold.window.SetAllowance(0, base::Millis(), now);
    return;
  }
  // The number of requests in any one second, which the routers divide by their
  // ranks, so that it holds although all may send at once. A router that is not
  // settled divides a smaller number among all, and gets no more of it than it
  // would get if it were.
  const double rate = cold.limit.rate * (is_settled ? 1 : kUnsettledShare);
  const double units = std::clamp(std::ceil(rate), 1.0, kMaxUnits);
  const auto total = static_cast<size_t>(units);
  const size_t count = total / routers + (cold.rank < total % routers ? 1 : 0);
  const base::Millis span(static_cast<int64_t>(std::ceil(std::min(
      kMaxIntervalMs, kMillisPerSecond * units / (kUsedShare * rate)))));
  const double spacing = static_cast<double>(span.count()) /
                         static_cast<double>(std::max<size_t>(1, count));
  cold.window.SetAllowance(
      count, span,
      now + base::Millis(static_cast<int64_t>(PhaseOf(key) * spacing)));
}

std::optional<BackendColdChanged> RequestLimits::SetCold(
    base::Millis now,
    const Backend& backend,
    const std::optional<ColdLimit>& limit) {
  const std::string key = backend.key();
  BackendColdChanged change;
  change.instance = backend.instance;
  change.service = backend.service;
  if (!limit) {
    return cold_.erase(key) > 0 ? std::make_optional(change) : std::nullopt;
  }
  const auto [entry, is_new] = cold_.try_emplace(key);
  Cold& cold = entry->second;
  const bool has_changed = is_new || cold.limit.rate != limit->rate;
  cold.limit = *limit;
  if (is_new) {
    cold.instance = backend.instance;
    cold.service = backend.service;
    cold.rank = RankOf(key);
  }
  if (has_changed) {
    ApportionCold(now, key, cold);
  }
  change.is_cold = true;
  change.remaining = limit->until - now;
  change.rate = limit->rate;
  return is_new ? std::make_optional(change) : std::nullopt;
}

std::vector<BackendColdChanged> RequestLimits::EndColdLimits(base::Millis now) {
  std::vector<BackendColdChanged> changes;
  for (auto entry = cold_.begin(); entry != cold_.end();) {
    if (now < entry->second.limit.until) {
      ++entry;
      continue;
    }
    BackendColdChanged change;
    change.instance = entry->second.instance;
    change.service = entry->second.service;
    changes.push_back(std::move(change));
    entry = cold_.erase(entry);
  }
  return changes;
}

std::optional<base::Millis> RequestLimits::EndOf(const Backend& backend) const {
  const std::string key = backend.key();
  const auto cold = cold_.find(key);
  return cold == cold_.end() || limits_.count(key) > 0
             ? std::nullopt
             : std::make_optional(cold->second.limit.until);
}

}  // namespace godwit::dispatch
