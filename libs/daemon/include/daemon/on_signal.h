#ifndef DAEMON_ON_SIGNAL_H_
#define DAEMON_ON_SIGNAL_H_

#include <functional>
#include <memory>
#include <vector>

namespace godwit::runtime {
class Runtime;
}

namespace godwit::daemon {

// Calls a handler on the core thread at each of some signals for as long as it
// lives.
class OnSignal {
 public:
  // `numbers` such as SIGTERM. The handler must not block.
  OnSignal(runtime::Runtime& runtime,
           const std::vector<int>& numbers,
           std::function<void()> handler);
  ~OnSignal();
  OnSignal(const OnSignal&) = delete;
  OnSignal& operator=(const OnSignal&) = delete;

 private:
  struct State;
  std::shared_ptr<State> state_;
};

}  // namespace godwit::daemon

#endif  // DAEMON_ON_SIGNAL_H_
