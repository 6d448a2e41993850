#ifndef DISPATCH_CALL_QUEUE_H_
#define DISPATCH_CALL_QUEUE_H_

#include <cstddef>
#include <cstdint>
#include <map>
#include <tuple>
#include <vector>

#include "base/ids.h"
#include "base/millis.h"
#include "dispatch/call_id.h"
#include "dispatch/queued_call.h"

namespace godwit::dispatch {

// Calls that wait for a slot at a service, by urgency with ageing: urgent calls
// go first, but a call that has waited long goes before more urgent ones that
// arrived much later, so that no urgency starves. Among the calls of one
// urgency, organisations take turns by expected work. Absorbs bursts, also of
// one organisation, and the loss of servers under mixed urgencies. No I/O. Not
// thread-safe.
class CallQueue {
 public:
  void Add(const QueuedCall& call);
  // Does nothing if the call is not queued.
  void Remove(CallId call);
  // Removes a call that is started, and counts its work for its organisation.
  void Start(CallId call);

  // Queued calls of a service, the next one first.
  std::vector<CallId> InOrder(const base::ServiceId& service) const;
  // Services with queued calls.
  std::vector<base::ServiceId> Services() const;
  // Number of calls that a new one would wait behind.
  size_t Ahead(const QueuedCall& call) const;
  size_t size() const noexcept { return positions_.size(); }

 private:
  // Arrival time at which a call of the highest urgency would have the same
  // position, with the call's id as tie-breaker.
  using Position = std::tuple<base::Millis, CallId>;
  using Calls = std::map<Position, QueuedCall>;

  // Work of the calls of one urgency that were started while calls waited.
  struct Turns {
    // Work up to which each organisation has had its turns. An organisation
    // that had none lately is treated as if it had as much as the one that
    // started last, so that it doesn't collect turns while it needs none.
    std::map<base::OrganisationId, int64_t> served;
    int64_t last_served = 0;
  };

  struct Queue {
    Calls calls;
    // By urgency.
    std::map<int64_t, Turns> turns;
  };

  static Position PositionOf(const QueuedCall& call);
  static std::vector<CallId> InOrder(const Calls& calls,
                                     const std::map<int64_t, Turns>& turns);
  static bool HasOneOrganisation(const Calls& calls);

  std::map<base::ServiceId, Queue> queues_;
  std::map<CallId, std::pair<base::ServiceId, Position>> positions_;
};

}  // namespace godwit::dispatch

#endif  // DISPATCH_CALL_QUEUE_H_
