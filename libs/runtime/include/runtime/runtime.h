#ifndef RUNTIME_RUNTIME_H_
#define RUNTIME_RUNTIME_H_

#include <functional>
#include <memory>

#include "base/millis.h"

namespace boost::asio {
class io_context;
}

namespace godwit::runtime {

// Two threads of a process: one runs Asio handlers, the other ("core") runs
// fibers and holds all decision state, which therefore needs no locks.
class Runtime {
 public:
  Runtime();
  // Stops and joins the I/O thread.
  ~Runtime();
  Runtime(const Runtime&) = delete;
  Runtime& operator=(const Runtime&) = delete;

  // Makes the calling thread the core, runs `main` in a fiber and then tasks
  // until Stop is called. Call once.
  void Run(std::function<void()> main);

  // Ends Run after the tasks already posted. Any thread.
  void Stop();

  // Runs `task` on the core's dispatching fiber, in order of posting. The task
  // must not block its fiber. Any thread.
  void Post(std::function<void()> task);

  // Runs `task` on the core in a fiber of its own, where it may block. Any
  // thread.
  void Spawn(std::function<void()> task);

  // Runs `task` on the core every `period` until the runtime stops; the task
  // must not block. Core thread.
  void Every(base::Millis period, std::function<void()> task);

  // Blocks the calling fiber. Core thread.
  static void SleepFor(base::Millis span);

  // Ends the process with an exit code, for use after Run. Fibers that still
  // wait would keep a thread that returns from ending.
  [[noreturn]] static void Exit(int code);

  // The context that the I/O thread runs.
  boost::asio::io_context& io() noexcept;

 private:
  struct State;
  std::shared_ptr<State> state_;
};

}  // namespace godwit::runtime

#endif  // RUNTIME_RUNTIME_H_
