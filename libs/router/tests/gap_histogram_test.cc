#include "gap_histogram.h"

#include <CppUTest/TestHarness.h>

using godwit::base::Millis;
using godwit::router::GapHistogram;

TEST_GROUP(GapHistogram){};

TEST(GapHistogram, BoundsWhatMostSpansKeep) {
  const struct {
    int64_t usual;
    int64_t rare;
    int rare_of_100;
    int64_t low;
    int64_t high;
  } cases[] = {
      {30, 5000, 5, 30, 30},   {30, 5000, 6, 5000, 6250},
      {0, 64, 50, 64, 80},     {-1, 0, 0, 0, 0},
      {100, 100, 0, 100, 125}, {600'000, 0, 0, 600'000, 750'000},
  };
  for (const auto& c : cases) {
    GapHistogram gaps;
    for (int i = 0; i < 100; ++i) {
      gaps.Add(Millis(i < c.rare_of_100 ? c.rare : c.usual));
    }
    const auto found = gaps.Percentile95();
    CHECK(found.has_value());
    CHECK(*found >= Millis(c.low));
    CHECK(*found <= Millis(c.high));
  }
  CHECK(!GapHistogram().Percentile95().has_value());
}
