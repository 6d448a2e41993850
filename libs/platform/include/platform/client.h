#ifndef PLATFORM_CLIENT_H_
#define PLATFORM_CLIENT_H_

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "base/error.h"
#include "base/millis.h"
#include "platform/call_completed.h"
#include "platform/kv_read_done.h"
#include "platform/kv_write.h"
#include "platform/kv_write_done.h"
#include "platform/vm.h"

namespace godwit::runtime {
class Runtime;
}

namespace godwit::platform {

// Client of the platform's KV and VM list over HTTP. Each call blocks the
// calling fiber on the core thread; calls of several fibers run concurrently.
//
// Protocol; VERSION is a positive integer that increases with each write of a
// key:
//   GET    /kv/KEY                     200 + body + X-Version, or 404
//   GET    /kv/KEY?after=V&wait_ms=T   as above once the version differs from
//                                      V (0: exists), or 304 after T
//   PUT    /kv/KEY?expect=V[&lease=L]  200 + X-Version, or 409
//   GET    /kv?prefix=P[&values=0]     200 + JSON [{key, version, value}];
//                                      without the values if values=0
//   POST   /lease?ttl_ms=T             200 + JSON {"lease": L}
//   POST   /lease/L/renew              200, or 404 when it lapsed
//   GET    /vms                        200 + JSON [{name, address, role,
//                                      data_centre, state}]
//   429 and 503 mean that the call had no effect.
class Client {
 public:
  // `ip` is an IP address.
  Client(runtime::Runtime& runtime, std::string ip, uint16_t port);
  ~Client();
  Client(const Client&) = delete;
  Client& operator=(const Client&) = delete;

  // Timeout of a call, after which it counts as unanswered. Default 2 s.
  // Returns *this.
  Client& CallTimeout(base::Millis timeout);

  // Sets a callback that is invoked when a call ends. Set it before the first
  // call. Returns *this.
  Client& OnCall(std::function<void(const CallCompleted&)> callback);

  KvReadDone Read(const std::string& key);

  // Waits at most `wait` until the key's version differs from `after_version`.
  // `available` is false on failure. An unchanged key is returned with version
  // `after_version` and an empty value.
  KvReadDone Watch(const std::string& key,
                   int64_t after_version,
                   base::Millis wait);

  KvWriteDone Write(const KvWrite& write);

  // Keys that start with `prefix`, without their values; empty when the KV is
  // unavailable.
  std::optional<std::vector<std::string>> ListKeys(const std::string& prefix);

  // Creates a lease that lapses `ttl` after its last renewal; empty on failure.
  std::optional<std::string> GrantLease(base::Millis ttl);
  // False when the lease has lapsed; empty when the KV is unavailable.
  std::optional<bool> RenewLease(const std::string& lease);

  // The platform's list of VMs, which lags behind their actual state; empty on
  // failure.
  std::optional<std::vector<Vm>> ListVms();

 private:
  struct State;
  std::unique_ptr<State> state_;
};

}  // namespace godwit::platform

#endif  // PLATFORM_CLIENT_H_
