#ifndef DAEMON_SIGNAL_HANDLER_H_
#define DAEMON_SIGNAL_HANDLER_H_

#include <functional>
#include <memory>
#include <vector>

namespace godwit::runtime {
class Runtime;
}

namespace godwit::daemon {

// Calls a handler on the core thread whenever the process receives one of the
// given signals, until destroyed.
class SignalHandler {
 public:
  // `numbers` are signal numbers such as SIGTERM. The handler must not block.
  SignalHandler(runtime::Runtime& runtime,
                const std::vector<int>& numbers,
                std::function<void()> handler);
  ~SignalHandler();
  SignalHandler(const SignalHandler&) = delete;
  SignalHandler& operator=(const SignalHandler&) = delete;

 private:
  struct State;
  std::shared_ptr<State> state_;
};

}  // namespace godwit::daemon

#endif  // DAEMON_SIGNAL_HANDLER_H_
