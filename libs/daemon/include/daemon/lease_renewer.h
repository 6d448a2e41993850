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

// Keeps a key in the KV under a lease for as long as the process runs and
// reaches the KV; other processes observe when the lease lapses. Only
// efficiency may depend on the lease, never correctness: a process that was
// paused does not know that its lease has lapsed. Core thread only.
class LeaseRenewer {
 public:
  // Must outlive Runtime::Run().
  LeaseRenewer(runtime::Runtime& runtime,
               platform::Client& client,
               std::string key,
               base::Millis ttl);

  // Starts to acquire and renew the lease.
  void Start();
  // Stops renewing; the KV deletes the key when the lease lapses.
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
