#include "guard/body_memory.h"

#include <cstddef>
#include <vector>

#include <CppUTest/TestHarness.h>

using godwit::guard::BodyMemory;

namespace {

constexpr size_t kKib = 1024;
constexpr size_t kMib = 1024 * kKib;
constexpr size_t kCapacity = 16 * kMib;

}  // namespace

TEST_GROUP(BodyMemory){};

// Load: many large bodies at once.
TEST(BodyMemory, LargeBodiesExceedTheMemory) {
  BodyMemory memory(kCapacity);
  size_t admitted = 0;
  for (int i = 0; i < 100; ++i) {
    admitted += memory.Reserve(memory.Begin(), 2 * kMib) ? 1 : 0;
    CHECK(memory.used() <= kCapacity);
  }
  CHECK_EQUAL(6, admitted);
}

TEST(BodyMemory, LargeBodiesStarveSmallOnes) {
  BodyMemory memory(kCapacity);
  for (int i = 0; i < 100; ++i) {
    memory.Reserve(memory.Begin(), 2 * kMib);
  }
  for (int i = 0; i < 64; ++i) {
    CHECK(memory.Reserve(memory.Begin(), 60 * kKib));
  }
  CHECK(memory.used() <= kCapacity);
}

TEST(BodyMemory, LargeBodiesOvertakeALargerOne) {
  BodyMemory memory(kCapacity);
  const auto first = memory.Begin();
  CHECK(memory.Reserve(first, 8 * kMib));
  memory.Complete(first, 8 * kMib);
  const auto largest = memory.Begin();
  CHECK(!memory.Reserve(largest, 8 * kMib));
  const auto later = memory.Begin();
  CHECK(!memory.Reserve(later, 1 * kMib));
  memory.Release(first);
  CHECK(!memory.Reserve(later, 1 * kMib));
  CHECK(memory.Reserve(largest, 8 * kMib));
  CHECK(memory.Reserve(later, 1 * kMib));
}

// Bodies without a stated length hold a part of what they will need.
TEST(BodyMemory, GrowingBodiesWaitForEachOther) {
  BodyMemory memory(kCapacity);
  std::vector<int64_t> bodies;
  for (int i = 0; i < 3; ++i) {
    bodies.push_back(memory.Begin());
    CHECK(memory.Reserve(bodies.back(), 4 * kMib));
  }
  CHECK(!memory.Reserve(bodies[2], 6 * kMib));
  CHECK(memory.Reserve(bodies[0], 8 * kMib));
  memory.Complete(bodies[0], 8 * kMib);
  CHECK(!memory.Reserve(bodies[1], 8 * kMib));
  memory.Release(bodies[0]);
  CHECK(memory.Reserve(bodies[1], 8 * kMib));
  memory.Release(bodies[1]);
  CHECK(memory.Reserve(bodies[2], 6 * kMib));
  memory.Release(bodies[2]);
  CHECK_EQUAL(0, memory.used());
}

TEST(BodyMemory, ReleasedBodiesAreNotCounted) {
  BodyMemory memory(kCapacity);
  const auto body = memory.Begin();
  CHECK(memory.Reserve(body, 8 * kMib));
  memory.Complete(body, 3 * kMib);
  CHECK_EQUAL(3 * kMib, memory.used());
  memory.Release(body);
  memory.Release(body);
  CHECK_EQUAL(0, memory.used());
}
