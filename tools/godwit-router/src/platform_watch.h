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

// Delivers platform state to the router core as events: watches the fleet
// record and polls the VM list and the leases. Core thread only.
class PlatformWatch {
 public:
  // Must outlive Runtime::Run().
  PlatformWatch(runtime::Runtime& runtime,
                platform::Client& client,
                std::function<void(const router::RouterEvent&)> on_event);

  void Start();

 private:
  void WatchFleet();
  void PollVms();
  void PollLeases();
  // Collects the incarnations that hold a key `prefix` + incarnation. Returns
  // false if the KV did not answer.
  bool ListIncarnations(const std::string& prefix,
                        std::set<base::Incarnation>* incarnations);

  runtime::Runtime& runtime_;
  platform::Client& client_;
  const std::function<void(const router::RouterEvent&)> on_event_;
};

}  // namespace godwit::router_daemon

#endif  // GODWIT_ROUTER_PLATFORM_WATCH_H_
