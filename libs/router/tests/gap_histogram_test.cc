#include "gap_histogram.h"

#include <CppUTest/TestHarness.h>

using godwit::base::Millis;
using godwit::router::GapHistogram;

TEST_GROUP(GapHistogram){};

TEST(GapHistogram, BoundsThe95thPercentile) {
  const struct {
    int64_t common_ms;
    int64_t rare_ms;
    int rare_count;
    int64_t min_ms;
    int64_t max_ms;
  } cases[] = {
      {30, 5000, 5, 30, 30},   {30, 5000, 6, 5000, 6250},
      {0, 64, 50, 64, 80},     {-1, 0, 0, 0, 0},
      {100, 100, 0, 100, 125}, {600'000, 0, 0, 600'000, 750'000},
  };
  for (const auto& c : cases) {
    GapHistogram gaps;
    for (int i = 0; i < 100; ++i) {
      gaps.Add(Millis(i < c.rare_count ? c.rare_ms : c.common_ms));
    }
    const auto percentile = gaps.Percentile95();
    CHECK(percentile.has_value());
    CHECK(*percentile >= Millis(c.min_ms));
    CHECK(*percentile <= Millis(c.max_ms));
  }
  CHECK(!GapHistogram().Percentile95().has_value());
}
