#ifndef PROCESS_RELAY_H_
#define PROCESS_RELAY_H_

#include <cstdint>
#include <memory>

namespace godwit::runtime {
class Runtime;
}

namespace godwit::process {

// Forwards TCP connections to a port of this machine and injects network
// faults. Must be destroyed before the runtime. Any thread.
class Relay {
 public:
  explicit Relay(runtime::Runtime& runtime);
  ~Relay();
  Relay(const Relay&) = delete;
  Relay& operator=(const Relay&) = delete;

  // Port that it listens on.
  uint16_t port() const noexcept;

  // Sets the port that new connections are forwarded to. Connections that
  // arrive earlier are closed.
  void ForwardTo(uint16_t port);

  // Closes all connections, and new ones on arrival, until Restore().
  void Disconnect();
  void Restore();

  // Open connections stay open and forward nothing more; new connections work.
  void Stall();

 private:
  class State;
  std::shared_ptr<State> state_;
};

}  // namespace godwit::process

#endif  // PROCESS_RELAY_H_
