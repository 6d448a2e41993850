#include "dispatch/waiting_line.h"

#include <iterator>
#include <limits>

namespace godwit::dispatch {
namespace {

// A call goes before those one step more urgent that come this much later.
constexpr base::Millis kHeadStart(400);

}  // namespace

void WaitingLine::Add(const base::ServiceId& service,
                      int64_t urgency,
                      base::Millis arrived_at,
                      CallId call) {
  const Place place{arrived_at + kHeadStart * urgency, call};
  lines_[service].insert(place);
  places_[call] = {service, place};
}

void WaitingLine::Remove(CallId call) {
  const auto found = places_.find(call);
  if (found == places_.end()) {
    return;
  }
  const auto line = lines_.find(found->second.first);
  line->second.erase(found->second.second);
  if (line->second.empty()) {
    lines_.erase(line);
  }
  places_.erase(found);
}

std::vector<CallId> WaitingLine::InOrder(const base::ServiceId& service) const {
  std::vector<CallId> calls;
  const auto line = lines_.find(service);
  if (line != lines_.end()) {
    for (const auto& [at, call] : line->second) {
      calls.push_back(call);
    }
  }
  return calls;
}

std::vector<base::ServiceId> WaitingLine::Services() const {
  std::vector<base::ServiceId> services;
  for (const auto& [service, line] : lines_) {
    services.push_back(service);
  }
  return services;
}

size_t WaitingLine::Ahead(const base::ServiceId& service,
                          int64_t urgency,
                          base::Millis arrived_at) const {
  const auto line = lines_.find(service);
  if (line == lines_.end()) {
    return 0;
  }
  const Place place{arrived_at + kHeadStart * urgency,
                    std::numeric_limits<CallId>::max()};
  return static_cast<size_t>(
      std::distance(line->second.begin(), line->second.upper_bound(place)));
}

}  // namespace godwit::dispatch
