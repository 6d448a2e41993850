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

// The router process: the core and the shell round it. Core thread.
class RouterDaemon {
 public:
  RouterDaemon(runtime::Runtime& runtime, const config::Settings& settings);
  ~RouterDaemon();
  RouterDaemon(const RouterDaemon&) = delete;
  RouterDaemon& operator=(const RouterDaemon&) = delete;

  // Starts to serve and prints the address on standard output. False when an
  // address or a file can't be used; see last_error().
  bool Start();

  // Stops in order: is not ready at once, refuses requests after the grace,
  // finishes those in progress, hands budgets back and stops the runtime. A
  // second call does nothing.
  void Drain();

  // Reads certificates again; open connections and links go on. Files that
  // can't be used are logged, and those before stay in use.
  void ReloadCertificates();

  // Why Start failed, or what the stop cut off; kind kNone for neither.
  const base::Error& last_error() const noexcept;

 private:
  class Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace godwit::router_daemon

#endif  // GODWIT_ROUTER_ROUTER_DAEMON_H_
