#ifndef DAEMON_ON_TERMINATE_H_
#define DAEMON_ON_TERMINATE_H_

#include <functional>
#include <memory>

namespace godwit::runtime {
class Runtime;
}

namespace godwit::daemon {

// Calls a handler on the core thread at each SIGTERM or SIGINT for as long as
// it lives.
class OnTerminate {
 public:
  OnTerminate(runtime::Runtime& runtime, std::function<void()> handler);
  ~OnTerminate();
  OnTerminate(const OnTerminate&) = delete;
  OnTerminate& operator=(const OnTerminate&) = delete;

 private:
  struct State;
  std::shared_ptr<State> state_;
};

}  // namespace godwit::daemon

#endif  // DAEMON_ON_TERMINATE_H_
