#include "daemon/watch_fleet.h"

#include "membership/fleet_codec.h"
#include "platform/client.h"
#include "runtime/runtime.h"

namespace godwit::daemon {

void WatchFleet(platform::Client& client,
                base::Millis wait,
                base::Millis retry,
                const std::function<void(const membership::FleetRecord&,
                                         int64_t version)>& on_record) {
  int64_t version = 0;
  for (;;) {
    const platform::KvReadDone done =
        client.Watch(membership::kFleetKey, version, wait);
    if (!done.available) {
      runtime::Runtime::SleepFor(retry);
      continue;
    }
    if (done.version == version) {
      continue;
    }
    membership::FleetCodec codec;
    const auto record = codec.Decode(done.value);
    if (!record) {
      runtime::Runtime::SleepFor(retry);
      continue;
    }
    version = done.version;
    on_record(*record, version);
  }
}

}  // namespace godwit::daemon
