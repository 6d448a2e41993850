#include "run_times.h"

#include <algorithm>
#include <utility>

namespace godwit::dispatch {
namespace {

constexpr base::Millis kWindow(30'000);

}  // namespace

void RunTimes::OnAnswered(base::Millis now,
                          const std::string& route,
                          base::Millis time) {
  if (now - began_at_ >= kWindow) {
    previous_ = std::exchange(current_, {});
    if (now - began_at_ >= kWindow + kWindow) {
      previous_.clear();
    }
    began_at_ = now;
  }
  base::Millis& longest = current_[route];
  longest = std::max(longest, time);
}

std::optional<base::Millis> RunTimes::Longest(base::Millis now,
                                              const std::string& route) const {
  if (now - began_at_ >= kWindow + kWindow) {
    return std::nullopt;
  }
  const auto current = Find(current_, route);
  const auto previous =
      now - began_at_ < kWindow ? Find(previous_, route) : std::nullopt;
  return std::max(current, previous);
}

std::optional<base::Millis> RunTimes::Find(const Times& times,
                                           const std::string& route) {
  const auto found = times.find(route);
  return found == times.end() ? std::nullopt
                              : std::make_optional(found->second);
}

}  // namespace godwit::dispatch
