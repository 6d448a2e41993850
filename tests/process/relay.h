#ifndef PROCESS_RELAY_H_
#define PROCESS_RELAY_H_

#include <cstdint>
#include <memory>

namespace godwit::runtime {
class Runtime;
}

namespace godwit::process {

// Passes TCP connections on to a port of this machine, until a fault is set.
// Destroy it before the runtime. Any thread.
class Relay {
 public:
  explicit Relay(runtime::Runtime& runtime);
  ~Relay();
  Relay(const Relay&) = delete;
  Relay& operator=(const Relay&) = delete;

  // Port that it listens on.
  uint16_t port() const noexcept;

  // Where connections lead; before this they are closed at once.
  void ForwardTo(uint16_t port);

  // Closes all connections, and new ones at once, until Restore.
  void Disconnect();
  void Restore();

  // The connections that are open stay open and pass nothing for good; new
  // ones work.
  void Stall();

 private:
  class State;
  std::shared_ptr<State> state_;
};

}  // namespace godwit::process

#endif  // PROCESS_RELAY_H_
