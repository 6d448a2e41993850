#include "runtime/runtime.h"

#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/fiber/condition_variable.hpp>
#include <boost/fiber/fiber.hpp>
#include <boost/fiber/fixedsize_stack.hpp>
#include <boost/fiber/mutex.hpp>
#include <boost/fiber/operations.hpp>
#include <chrono>
#include <cstdio>
#include <cstdlib>
#include <deque>
#include <memory>
#include <mutex>
#include <thread>
#include <utility>

namespace godwit::runtime {
namespace {

constexpr size_t kFiberStackBytes = 128 * 1024;

using Task = std::function<void()>;
using WorkGuard =
    boost::asio::executor_work_guard<boost::asio::io_context::executor_type>;

void LaunchFiber(Task task) {
  boost::fibers::fiber(boost::fibers::launch::post, std::allocator_arg,
                       boost::fibers::fixedsize_stack(kFiberStackBytes),
                       std::move(task))
      .detach();
}

}  // namespace

struct Runtime::State {
  boost::asio::io_context io{1};
  WorkGuard work{io.get_executor()};
  std::thread io_thread;
  boost::fibers::mutex mutex;
  boost::fibers::condition_variable ready;
  std::deque<Task> tasks;
  bool stopping = false;

  std::deque<Task> WaitForTasks() {
    std::unique_lock<boost::fibers::mutex> lock(mutex);
    ready.wait(lock, [this] { return stopping || !tasks.empty(); });
    return std::exchange(tasks, {});
  }

  bool Stopping() {
    const std::lock_guard<boost::fibers::mutex> lock(mutex);
    return stopping;
  }

  // True once a stop was requested and all tasks posted before it have run.
  bool Stopped() {
    const std::lock_guard<boost::fibers::mutex> lock(mutex);
    return stopping && tasks.empty();
  }
};

Runtime::Runtime() : state_(std::make_shared<State>()) {
  state_->io_thread = std::thread([this] { state_->io.run(); });
}

Runtime::~Runtime() {
  Stop();
  state_->work.reset();
  state_->io.stop();
  state_->io_thread.join();
}

void Runtime::Run(std::function<void()> main) {
  LaunchFiber(std::move(main));
  while (!state_->Stopped()) {
    for (Task& task : state_->WaitForTasks()) {
      task();
    }
    boost::this_fiber::yield();
  }
}

void Runtime::Stop() {
  {
    const std::lock_guard<boost::fibers::mutex> lock(state_->mutex);
    state_->stopping = true;
  }
  state_->ready.notify_all();
}

void Runtime::Post(std::function<void()> task) {
  {
    const std::lock_guard<boost::fibers::mutex> lock(state_->mutex);
    state_->tasks.push_back(std::move(task));
  }
  state_->ready.notify_one();
}

void Runtime::Spawn(std::function<void()> task) {
  Post([task = std::move(task)]() mutable { LaunchFiber(std::move(task)); });
}

void Runtime::Every(base::Millis period, std::function<void()> task) {
  // The fiber captures the state by shared ownership: it may wake after the
  // runtime is destroyed, while the same thread runs the fibers of another
  // runtime.
  LaunchFiber([state = state_, period, task = std::move(task)] {
    SleepFor(period);
    while (!state->Stopping()) {
      task();
      SleepFor(period);
    }
  });
}

void Runtime::SleepFor(base::Millis span) {
  boost::this_fiber::sleep_for(std::chrono::milliseconds(span.count()));
}

void Runtime::Exit(int code) {
  std::fflush(nullptr);
  std::_Exit(code);
}

boost::asio::io_context& Runtime::io() noexcept {
  return state_->io;
}

}  // namespace godwit::runtime
