#include "fleet_clock.h"

#include <algorithm>
#include <cstddef>
#include <iterator>
#include <tuple>
#include <utility>
#include <vector>

namespace godwit::ledger {
namespace {

// Age after which a reading is not used any more: the clock may have jumped.
constexpr base::Millis kMaxReadingAge(10'000);
// Number of clocks of which one may jump.
constexpr size_t kMinClocks = 3;

}  // namespace

void FleetClock::Record(base::Millis now,
                        const base::ProcessId& router,
                        base::Millis wall_time) {
  if (router == self_ || wall_time == base::Millis()) {
    return;
  }
  // Delay on the way makes an offset too small, so the largest recent one is
  // the best.
  const Reading reading{wall_time - now, now};
  const auto [entry, is_new] = readings_.try_emplace(router, reading);
  if (is_new) {
    EraseOld(now);
  } else if (reading.offset >= entry->second.offset ||
             now - entry->second.recorded_at >= kMaxReadingAge) {
    entry->second = reading;
  }
}

void FleetClock::EraseOld(base::Millis now) {
  for (auto entry = readings_.begin(); entry != readings_.end();) {
    const bool is_old = now - entry->second.recorded_at >= kMaxReadingAge;
    entry = is_old ? readings_.erase(entry) : std::next(entry);
  }
}

std::optional<base::Millis> FleetClock::Earliest(base::Millis now) const {
  return Median(now, false);
}

std::optional<base::Millis> FleetClock::Latest(base::Millis now) const {
  return Median(now, true);
}

WallClocks FleetClock::LowerBounds(base::Millis now, size_t count) const {
  std::vector<std::pair<base::Millis, const base::ProcessId*>> latest;
  for (const auto& [router, reading] : readings_) {
    if (now - reading.recorded_at < kMaxReadingAge) {
      latest.emplace_back(now - reading.recorded_at, &router);
    }
  }
  std::sort(latest.begin(), latest.end(), [](const auto& a, const auto& b) {
    return std::tie(a.first, *a.second) < std::tie(b.first, *b.second);
  });
  WallClocks clocks;
  if (own_) {
    clocks[self_] = now + *own_;
  }
  for (const auto& [age, router] : latest) {
    if (clocks.size() >= count) {
      break;
    }
    clocks[*router] = now + readings_.at(*router).offset;
  }
  return clocks;
}

std::optional<base::Millis> FleetClock::Median(base::Millis now,
                                               bool latest) const {
  std::vector<base::Millis> offsets;
  if (own_) {
    offsets.push_back(*own_);
  }
  for (const auto& [router, reading] : readings_) {
    if (now - reading.recorded_at < kMaxReadingAge) {
      offsets.push_back(reading.offset);
    }
  }
  if (offsets.size() < kMinClocks) {
    return std::nullopt;
  }
  const size_t middle = (latest ? offsets.size() : offsets.size() - 1) / 2;
  const auto at = offsets.begin() + static_cast<std::ptrdiff_t>(middle);
  std::nth_element(offsets.begin(), at, offsets.end());
  return *at;
}

}  // namespace godwit::ledger
