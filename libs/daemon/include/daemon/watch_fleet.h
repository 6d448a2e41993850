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

// Calls `seen` with each newer version of the fleet record that the KV shows,
// for ever. `wait` is the length of a watch; a failure is tried again after
// `retry`. Blocks its fiber. Core thread.
[[noreturn]] void WatchFleet(
    platform::Client& client,
    base::Millis wait,
    base::Millis retry,
    const std::function<void(const membership::FleetRecord&, int64_t version)>&
        on_record);

}  // namespace godwit::daemon

#endif  // DAEMON_WATCH_FLEET_H_
