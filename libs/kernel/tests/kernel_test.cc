#include <string>
#include <vector>

#include "kernel/kernel.h"

#include <CppUTest/TestHarness.h>

using godwit::kernel::Kernel;

TEST_GROUP(Kernel){};

TEST(Kernel, FindsByNameAndType) {
  int number = 7;
  Kernel kernel;
  kernel.Register("number", number);
  POINTERS_EQUAL(&number, kernel.Find<int>("number"));
  POINTERS_EQUAL(nullptr, kernel.Find<double>("number"));
  POINTERS_EQUAL(nullptr, kernel.Find<int>("other"));
}

TEST(Kernel, StopsInReverseOrderOnce) {
  std::vector<std::string> stopped;
  int first = 0;
  int second = 0;
  Kernel kernel;
  kernel.Register("first", first, [&] { stopped.emplace_back("first"); })
      .Register("second", second, [&] { stopped.emplace_back("second"); });
  kernel.Stop();
  kernel.Stop();
  CHECK(stopped == (std::vector<std::string>{"second", "first"}));
}
