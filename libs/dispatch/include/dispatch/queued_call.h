#ifndef DISPATCH_QUEUED_CALL_H_
#define DISPATCH_QUEUED_CALL_H_

#include <cstdint>
#include <tuple>

#include "base/ids.h"
#include "base/millis.h"
#include "dispatch/call_id.h"

namespace godwit::dispatch {

// What the place of a call in a CallQueue depends on.
struct QueuedCall {
  CallId call = 0;
  base::ServiceId service;
  // Empty for calls without an organisation.
  base::OrganisationId organisation;
  // 0 is the most urgent.
  int64_t urgency = 0;
  base::Millis arrived_at;
  // Expected work, in any unit that all calls of the service share.
  int64_t work = 1;

  friend bool operator==(const QueuedCall& a, const QueuedCall& b) {
    return std::tie(a.call, a.service, a.organisation, a.urgency, a.arrived_at,
                    a.work) == std::tie(b.call, b.service, b.organisation,
                                        b.urgency, b.arrived_at, b.work);
  }
  friend bool operator!=(const QueuedCall& a, const QueuedCall& b) {
    return !(a == b);
  }
};

}  // namespace godwit::dispatch

#endif  // DISPATCH_QUEUED_CALL_H_
