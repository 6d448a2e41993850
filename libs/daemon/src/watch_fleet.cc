#include "daemon/watch_fleet.h"

#include "membership/fleet_codec.h"
#include "platform/client.h"
#include "runtime/runtime.h"

namespace godwit::daemon {

void WatchFleet(platform::Client& client,
                base::Millis watch_timeout,
                base::Millis retry_delay,
                const std::function<void(const membership::FleetRecord&,
                                         int64_t version)>& on_record) {
  int64_t version = 0;
  for (;;) {
    const platform::KvReadDone done =
        client.Watch(membership::kFleetKey, version, watch_timeout);
    if (!done.available) {
      runtime::Runtime::SleepFor(retry_delay);
      continue;
    }
    if (done.version.revision == version) {
      continue;
    }
    membership::FleetCodec codec;
    const auto record = codec.Decode(done.value);
    if (!record) {
      runtime::Runtime::SleepFor(retry_delay);
      continue;
    }
    version = done.version.revision;
    on_record(*record, version);
  }
}

}  // namespace godwit::daemon
