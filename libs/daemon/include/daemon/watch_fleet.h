#ifndef DAEMON_WATCH_FLEET_H_
#define DAEMON_WATCH_FLEET_H_

#include <cstdint>
#include <functional>

#include "base/millis.h"
#include "membership/fleet_record.h"

namespace godwit::platform {
class Client;
}

namespace godwit::daemon {

// Watches the fleet record in the KV and calls `on_record` with each newer
// version, until it returns false. `watch_timeout` is the duration of one watch
// call; a failed call is retried after `retry_delay`. Blocks the calling fiber.
// Core thread only.
void WatchFleet(platform::Client& client,
                base::Millis watch_timeout,
                base::Millis retry_delay,
                const std::function<bool(const membership::FleetRecord&,
                                         int64_t version)>& on_record);

}  // namespace godwit::daemon

#endif  // DAEMON_WATCH_FLEET_H_
