#ifndef GODWIT_ROUTER_ROUTER_DAEMON_H_
#define GODWIT_ROUTER_ROUTER_DAEMON_H_

#include <memory>

#include "base/error.h"

namespace godwit::config {
class Settings;
class SettingsReader;
}  // namespace godwit::config

namespace godwit::runtime {
class Runtime;
}

namespace godwit::router_daemon {

// Declares the settings of the router.
void DeclareSettings(config::SettingsReader& reader);

// The router process: the core and the shell round it.
class RouterDaemon {
 public:
  RouterDaemon(runtime::Runtime& runtime, const config::Settings& settings);
  ~RouterDaemon();
  RouterDaemon(const RouterDaemon&) = delete;
  RouterDaemon& operator=(const RouterDaemon&) = delete;

  // Starts to serve and prints the address on standard output. Core thread.
  // False when an address or a file can't be used; see last_error().
  bool Start();

  // Takes no new requests, finishes those in progress, hands budgets back and
  // stops the runtime. A second call does nothing. Core thread.
  void Drain();

  const base::Error& last_error() const noexcept;

 private:
  class Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace godwit::router_daemon

#endif  // GODWIT_ROUTER_ROUTER_DAEMON_H_
