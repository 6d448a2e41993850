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

constexpr int kMostWaits = 1000;

}  // namespace

TEST_GROUP(Runtime){};

TEST(Runtime, FiberWaitsForHandlerOfIoThread) {
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

TEST(Runtime, PostedTasksKeepTheirOrder) {
  Runtime runtime;
  std::vector<int> seen;
  runtime.Run([&] {
    for (int i = 0; i < 3; ++i) {
      runtime.Post([&seen, i] { seen.push_back(i); });
    }
    runtime.Post([&runtime] { runtime.Stop(); });
  });
  CHECK(seen == (std::vector<int>{0, 1, 2}));
}

TEST(Runtime, PeriodicTaskEndsThoughTasksComeAfterTheStop) {
  auto held = std::make_shared<int>(0);
  const std::weak_ptr<int> left = held;
  {
    Runtime first;
    first.Run([&] {
      first.Every(Millis(1), [held = std::move(held)] {});
      first.Stop();
    });
    first.Post([] {});
  }
  Runtime second;
  second.Run([&] {
    for (int i = 0; i < kMostWaits && !left.expired(); ++i) {
      Runtime::SleepFor(Millis(2));
    }
    second.Stop();
  });
  CHECK(left.expired());
}
