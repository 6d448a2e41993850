#include "dispatch/call_queue.h"

#include <algorithm>
#include <iterator>
#include <limits>
#include <set>
#include <utility>

namespace godwit::dispatch {
namespace {

// A call goes before those that are one level more urgent and arrive at least
// this much later.
constexpr base::Millis kHeadStartPerUrgency(400);

}  // namespace

CallQueue::Position CallQueue::PositionOf(const QueuedCall& call) {
  return {call.arrived_at + kHeadStartPerUrgency * call.urgency, call.call};
}

void CallQueue::Add(const QueuedCall& call) {
  const Position position = PositionOf(call);
  queues_[call.service].calls[position] = call;
  positions_[call.call] = {call.service, position};
}

void CallQueue::Remove(CallId call) {
  const auto found = positions_.find(call);
  if (found == positions_.end()) {
    return;
  }
  const auto queue = queues_.find(found->second.first);
  queue->second.calls.erase(found->second.second);
  if (queue->second.calls.empty()) {
    queues_.erase(queue);
  }
  positions_.erase(found);
}

void CallQueue::Start(CallId call) {
  const auto found = positions_.find(call);
  if (found == positions_.end()) {
    return;
  }
  Queue& queue = queues_.at(found->second.first);
  const QueuedCall& started = queue.calls.at(found->second.second);
  Turns& turns = queue.turns[started.urgency];
  int64_t& served = turns.served[started.organisation];
  turns.last_served = std::max(turns.last_served, served);
  served = turns.last_served + started.work;
  Remove(call);
}

bool CallQueue::HasOneOrganisation(const Calls& calls) {
  return std::all_of(calls.begin(), calls.end(), [&calls](const auto& entry) {
    return entry.second.organisation == calls.begin()->second.organisation;
  });
}

std::vector<CallId> CallQueue::InOrder(const Calls& calls,
                                       const std::map<int64_t, Turns>& turns) {
  std::vector<CallId> order;
  if (HasOneOrganisation(calls)) {
    for (const auto& [position, call] : calls) {
      order.push_back(call.call);
    }
    return order;
  }
  // By urgency, the calls of each organisation, the first one first.
  std::map<int64_t,
           std::map<base::OrganisationId, std::vector<const QueuedCall*>>>
      waiting;
  for (const auto& [position, call] : calls) {
    waiting[call.urgency][call.organisation].push_back(&call);
  }
  std::map<int64_t, std::vector<CallId>> by_urgency;
  for (const auto& [urgency, organisations] : waiting) {
    // Start of each organisation's next turn, with the position of the call as
    // tie-breaker, and the index of the call.
    using Turn = std::tuple<int64_t, Position, base::OrganisationId, size_t>;
    std::set<Turn> next;
    const auto known = turns.find(urgency);
    for (const auto& [organisation, own] : organisations) {
      int64_t served = 0;
      if (known != turns.end()) {
        const auto had = known->second.served.find(organisation);
        served = std::max(known->second.last_served,
                          had == known->second.served.end() ? 0 : had->second);
      }
      next.emplace(served, PositionOf(*own.front()), organisation, 0);
    }
    while (!next.empty()) {
      const auto [served, position, organisation, index] = *next.begin();
      next.erase(next.begin());
      const auto& own = organisations.at(organisation);
      by_urgency[urgency].push_back(own[index]->call);
      if (index + 1 < own.size()) {
        next.emplace(served + own[index]->work, PositionOf(*own[index + 1]),
                     organisation, index + 1);
      }
    }
  }
  // The positions decide which urgency goes next, the turns which of its calls.
  std::map<int64_t, size_t> taken;
  for (const auto& [position, call] : calls) {
    order.push_back(by_urgency[call.urgency][taken[call.urgency]++]);
  }
  return order;
}

std::vector<CallId> CallQueue::InOrder(const base::ServiceId& service) const {
  const auto queue = queues_.find(service);
  return queue == queues_.end()
             ? std::vector<CallId>()
             : InOrder(queue->second.calls, queue->second.turns);
}

std::vector<base::ServiceId> CallQueue::Services() const {
  std::vector<base::ServiceId> services;
  for (const auto& [service, queue] : queues_) {
    services.push_back(service);
  }
  return services;
}

size_t CallQueue::Ahead(const QueuedCall& call) const {
  const auto queue = queues_.find(call.service);
  if (queue == queues_.end()) {
    return 0;
  }
  const Calls& waiting = queue->second.calls;
  if (waiting.begin()->second.organisation == call.organisation &&
      HasOneOrganisation(waiting)) {
    const Position position{std::get<0>(PositionOf(call)),
                            std::numeric_limits<CallId>::max()};
    return static_cast<size_t>(
        std::distance(waiting.begin(), waiting.upper_bound(position)));
  }
  QueuedCall last = call;
  // Behind calls with the same position.
  last.call = std::numeric_limits<CallId>::max();
  Calls calls = waiting;
  calls[PositionOf(last)] = last;
  const std::vector<CallId> order = InOrder(calls, queue->second.turns);
  return static_cast<size_t>(std::distance(
      order.begin(), std::find(order.begin(), order.end(), last.call)));
}

}  // namespace godwit::dispatch
