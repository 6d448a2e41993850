#ifndef RUNTIME_RUNTIME_H_
#define RUNTIME_RUNTIME_H_

#include <functional>
#include <memory>

#include "base/millis.h"

namespace boost::asio {
class io_context;
}

namespace godwit::runtime {

// The two threads of a process: the I/O thread runs Asio handlers, the core
// thread runs fibers. All decision state is used on the core thread only, so it
// needs no locks.
class Runtime {
 public:
  Runtime();
  // Stops and joins the I/O thread.
  ~Runtime();
  Runtime(const Runtime&) = delete;
  Runtime& operator=(const Runtime&) = delete;

  // Makes the calling thread the core thread, starts `main` in a fiber, and
  // runs posted tasks until Stop is called. Call once.
  void Run(std::function<void()> main);

  // Makes Run return once the tasks already posted have run. Any thread.
  void Stop();

  // Runs `task` on the core thread's dispatching fiber, in posting order. The
  // task must not block its fiber. Any thread.
  void Post(std::function<void()> task);

  // Runs `task` on the core thread in a new fiber, where it may block. Any
  // thread.
  void Spawn(std::function<void()> task);

  // Runs `task` on the core thread every `period` until the runtime stops. The
  // task must not block. Core thread.
  void Every(base::Millis period, std::function<void()> task);

  // Blocks the calling fiber. Core thread.
  static void SleepFor(base::Millis span);

  // Ends the process with an exit code without returning from the thread, for
  // use after Run. Fibers that are still blocked would prevent a returning
  // thread from ending.
  [[noreturn]] static void Exit(int code);

  // The io_context that the I/O thread runs.
  boost::asio::io_context& io() noexcept;

 private:
  struct State;
  std::shared_ptr<State> state_;
};

}  // namespace godwit::runtime

#endif  // RUNTIME_RUNTIME_H_
