#ifndef DISPATCH_CALL_QUEUE_H_
#define DISPATCH_CALL_QUEUE_H_

#include <cstddef>
#include <cstdint>
#include <map>
#include <set>
#include <tuple>
#include <vector>

#include "base/ids.h"
#include "base/millis.h"
#include "dispatch/call_id.h"

namespace godwit::dispatch {

// Calls that wait for a slot at a service, by urgency with ageing: urgent calls
// go first, but a call that has waited long goes before more urgent ones that
// arrived much later, so that no urgency starves. Absorbs bursts and the loss
// of servers under mixed urgencies. No I/O. Not thread-safe.
class CallQueue {
 public:
  void Add(const base::ServiceId& service,
           int64_t urgency,
           base::Millis arrived_at,
           CallId call);
  // Does nothing if the call is not queued.
  void Remove(CallId call);

  // Queued calls of a service, the next one first.
  std::vector<CallId> InOrder(const base::ServiceId& service) const;
  // Services with queued calls.
  std::vector<base::ServiceId> Services() const;
  // Number of calls that a new one would wait behind.
  size_t Ahead(const base::ServiceId& service,
               int64_t urgency,
               base::Millis arrived_at) const;
  size_t size() const noexcept { return positions_.size(); }

 private:
  // Arrival time at which a call of the highest urgency would have the same
  // position, with the call's id as tie-breaker.
  using Position = std::tuple<base::Millis, CallId>;

  std::map<base::ServiceId, std::set<Position>> queues_;
  std::map<CallId, std::pair<base::ServiceId, Position>> positions_;
};

}  // namespace godwit::dispatch

#endif  // DISPATCH_CALL_QUEUE_H_
