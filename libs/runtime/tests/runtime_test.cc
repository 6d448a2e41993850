#include <boost/asio/io_context.hpp>
#include <boost/asio/post.hpp>
#include <boost/fiber/future.hpp>
#include <memory>
#include <vector>

#include "runtime/runtime.h"

#include <CppUTest/TestHarness.h>

using godwit::base::Millis;
using godwit::runtime::Runtime;

namespace {

constexpr int kMaxWaits = 1000;

}  // namespace

TEST_GROUP(Runtime){};

TEST(Runtime, FiberWaitsForHandlerOnIoThread) {
  Runtime runtime;
  int answer = 0;
  runtime.Run([&] {
    boost::fibers::promise<int> promise;
    auto future = promise.get_future();
    boost::asio::post(runtime.io(), [&] { promise.set_value(42); });
    answer = future.get();
    runtime.Stop();
  });
  CHECK_EQUAL(42, answer);
}

TEST(Runtime, PostedTasksRunInOrder) {
  Runtime runtime;
  std::vector<int> executed;
  runtime.Run([&] {
    for (int i = 0; i < 3; ++i) {
      runtime.Post([&executed, i] { executed.push_back(i); });
    }
    runtime.Post([&runtime] { runtime.Stop(); });
  });
  CHECK(executed == (std::vector<int>{0, 1, 2}));
}

TEST(Runtime, PeriodicTaskEndsEvenIfTasksArePostedAfterStop) {
  auto state = std::make_shared<int>(0);
  const std::weak_ptr<int> task_state = state;
  {
    Runtime first;
    first.Run([&] {
      first.Every(Millis(1), [state = std::move(state)] {});
      first.Stop();
    });
    first.Post([] {});
  }
  Runtime second;
  second.Run([&] {
    for (int i = 0; i < kMaxWaits && !task_state.expired(); ++i) {
      Runtime::SleepFor(Millis(2));
    }
    second.Stop();
  });
  CHECK(task_state.expired());
}
