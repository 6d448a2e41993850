#include "dispatch/call_queue.h"

#include <iterator>
#include <limits>

namespace godwit::dispatch {
namespace {

// A call goes before those that are one level more urgent and arrive at least
// this much later.
constexpr base::Millis kHeadStartPerUrgency(400);

}  // namespace

void CallQueue::Add(const base::ServiceId& service,
                    int64_t urgency,
                    base::Millis arrived_at,
                    CallId call) {
  const Position position{arrived_at + kHeadStartPerUrgency * urgency, call};
  queues_[service].insert(position);
  positions_[call] = {service, position};
}

void CallQueue::Remove(CallId call) {
  const auto found = positions_.find(call);
  if (found == positions_.end()) {
    return;
  }
  const auto queue = queues_.find(found->second.first);
  queue->second.erase(found->second.second);
  if (queue->second.empty()) {
    queues_.erase(queue);
  }
  positions_.erase(found);
}

std::vector<CallId> CallQueue::InOrder(const base::ServiceId& service) const {
  std::vector<CallId> calls;
  const auto queue = queues_.find(service);
  if (queue != queues_.end()) {
    for (const auto& [at, call] : queue->second) {
      calls.push_back(call);
    }
  }
  return calls;
}

std::vector<base::ServiceId> CallQueue::Services() const {
  std::vector<base::ServiceId> services;
  for (const auto& [service, queue] : queues_) {
    services.push_back(service);
  }
  return services;
}

size_t CallQueue::Ahead(const base::ServiceId& service,
                        int64_t urgency,
                        base::Millis arrived_at) const {
  const auto queue = queues_.find(service);
  if (queue == queues_.end()) {
    return 0;
  }
  const Position position{arrived_at + kHeadStartPerUrgency * urgency,
                          std::numeric_limits<CallId>::max()};
  return static_cast<size_t>(std::distance(
      queue->second.begin(), queue->second.upper_bound(position)));
}

}  // namespace godwit::dispatch
