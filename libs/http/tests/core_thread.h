#ifndef HTTP_TESTS_CORE_THREAD_H_
#define HTTP_TESTS_CORE_THREAD_H_

#include <functional>
#include <future>
#include <thread>

#include "runtime/runtime.h"

namespace godwit::http {

// Runs the core of a runtime on a thread of its own, so that the test thread
// may block.
class CoreThread {
 public:
  CoreThread() : thread_([this] { runtime_.Run([] {}); }) {}
  ~CoreThread() {
    runtime_.Stop();
    thread_.join();
  }
  CoreThread(const CoreThread&) = delete;
  CoreThread& operator=(const CoreThread&) = delete;

  runtime::Runtime& runtime() noexcept { return runtime_; }

  // Runs `task` in a fiber on the core and waits for its result.
  template <typename Result>
  Result Call(std::function<Result()> task) {
    std::promise<Result> promise;
    runtime_.Spawn([&] { promise.set_value(task()); });
    return promise.get_future().get();
  }

 private:
  runtime::Runtime runtime_;
  std::thread thread_;
};

}  // namespace godwit::http

#endif  // HTTP_TESTS_CORE_THREAD_H_
