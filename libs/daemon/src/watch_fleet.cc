#include "daemon/watch_fleet.h"

#include "membership/fleet_codec.h"
#include "platform/client.h"
#include "runtime/runtime.h"

namespace godwit::daemon {

void WatchFleet(platform::Client& client,
                base::Millis watch_timeout,
                base::Millis retry_delay,
                const std::function<bool(const membership::FleetRecord&,
                                         int64_t version)>& on_record) {
  int64_t version = 0;
  // A KV may lose the answers of watches only.
  bool read_next = false;
  for (;;) {
    const platform::KvReadDone done =
        read_next ? client.Read(membership::kFleetKey)
                  : client.Watch(membership::kFleetKey, version, watch_timeout);
    read_next = !done.available;
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
    if (!on_record(*record, version)) {
      return;
    }
  }
}

}  // namespace godwit::daemon
