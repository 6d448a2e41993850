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

// Calls that wait for a place at a service, in the order in which they get
// one: urgent ones first, but a call that has waited long goes before more
// urgent ones that came much later, so that no urgency starves. Answers the
// load of a burst, or of servers lost, under mixed urgencies. No I/O. One
// thread at a time.
class CallQueue {
 public:
  void Add(const base::ServiceId& service,
           int64_t urgency,
           base::Millis arrived_at,
           CallId call);
  // Does nothing when the call does not wait.
  void Remove(CallId call);

  // Calls for a service, next one first.
  std::vector<CallId> InOrder(const base::ServiceId& service) const;
  // Services for which calls wait.
  std::vector<base::ServiceId> Services() const;
  // Calls that a new one would wait behind.
  size_t Ahead(const base::ServiceId& service,
               int64_t urgency,
               base::Millis arrived_at) const;
  size_t size() const noexcept { return positions_.size(); }

 private:
  // Time at which a call of the highest urgency would have had to come for the
  // same place.
  using Position = std::tuple<base::Millis, CallId>;

  std::map<base::ServiceId, std::set<Position>> queues_;
  std::map<CallId, std::pair<base::ServiceId, Position>> positions_;
};

}  // namespace godwit::dispatch

#endif  // DISPATCH_CALL_QUEUE_H_
