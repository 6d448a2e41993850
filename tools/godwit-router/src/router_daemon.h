#ifndef GODWIT_ROUTER_ROUTER_DAEMON_H_
#define GODWIT_ROUTER_ROUTER_DAEMON_H_

#include <memory>

#include "base/error.h"

namespace godwit::config {
class Settings;
}

namespace godwit::runtime {
class Runtime;
}

namespace godwit::router_daemon {

// The router process: connects the router core to its I/O. Core thread only.
class RouterDaemon {
 public:
  RouterDaemon(runtime::Runtime& runtime, const config::Settings& settings);
  ~RouterDaemon();
  RouterDaemon(const RouterDaemon&) = delete;
  RouterDaemon& operator=(const RouterDaemon&) = delete;

  // Starts to serve and prints the address on standard output. Returns false if
  // an address or a file can't be used; see last_error().
  bool Start();

  // Starts an orderly stop: reports not ready at once, refuses new requests
  // after the grace period, finishes those in progress, returns budgets and
  // stops the runtime. Later calls have no effect.
  void Drain();

  // Reloads certificates; existing connections and links are not affected.
  // Files that can't be used are logged, and the previous ones stay in use.
  void ReloadCertificates();

  // Reason why Start() failed, or the requests still in progress when the drain
  // timeout passed; kNone otherwise.
  const base::Error& last_error() const noexcept;

 private:
  class Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace godwit::router_daemon

#endif  // GODWIT_ROUTER_ROUTER_DAEMON_H_
