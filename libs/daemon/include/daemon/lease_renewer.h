#ifndef DAEMON_LEASE_RENEWER_H_
#define DAEMON_LEASE_RENEWER_H_

#include <string>

#include "base/millis.h"

namespace godwit::platform {
class Client;
}

namespace godwit::runtime {
class Runtime;
}

namespace godwit::daemon {

// Keeps a key in the KV for as long as the process runs and reaches the KV, by
// a lease that others see lapse. Only efficiency may depend on it: a process
// that was paused does not know that its lease lapsed. Core thread.
class LeaseRenewer {
 public:
  // Must outlive the runtime's run.
  LeaseRenewer(runtime::Runtime& runtime,
               platform::Client& client,
               std::string key,
               base::Millis ttl);

  // Begins to keep the key.
  void Start();
  // Stops renewing; the key goes when the lease lapses.
  void Stop() noexcept { stopped_ = true; }

 private:
  void RenewUntilStopped();
  bool AcquireLease();

  runtime::Runtime& runtime_;
  platform::Client& client_;
  const std::string key_;
  const base::Millis ttl_;
  std::string lease_;
  bool stopped_ = false;
};

}  // namespace godwit::daemon

#endif  // DAEMON_LEASE_RENEWER_H_
