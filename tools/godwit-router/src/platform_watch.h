#ifndef GODWIT_ROUTER_PLATFORM_WATCH_H_
#define GODWIT_ROUTER_PLATFORM_WATCH_H_

#include <cstdint>
#include <functional>
#include <set>
#include <string>

#include "base/ids.h"
#include "router/router_event.h"

namespace godwit::platform {
class Client;
}

namespace godwit::runtime {
class Runtime;
}

namespace godwit::router_daemon {

// Feeds the router core with what the platform shows: the fleet record by
// watch, the VM list and the leases by polling. Core thread.
class PlatformWatch {
 public:
  // Must outlive the runtime's run.
  PlatformWatch(runtime::Runtime& runtime,
                platform::Client& client,
                std::function<void(const router::RouterEvent&)> on_event);

  void Start();

 private:
  void WatchFleet();
  void PollVms();
  void PollLeases();
  // Incarnations that hold a key `prefix` + incarnation; false when the KV
  // could not be asked.
  bool ListIncarnations(const std::string& prefix,
                        std::set<base::Incarnation>* incarnations);

  runtime::Runtime& runtime_;
  platform::Client& client_;
  const std::function<void(const router::RouterEvent&)> on_event_;
};

}  // namespace godwit::router_daemon

#endif  // GODWIT_ROUTER_PLATFORM_WATCH_H_
