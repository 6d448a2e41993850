#include "elapsed_bound.h"

#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <vector>

namespace godwit::ledger {
namespace {

// A wall clock that is slewed runs slower by at most 500 parts in a million;
// twice that allows for the drift of the monotonic clock.
constexpr int64_t kSlewDivisor = 1000;
// The clocks are read in whole milliseconds, several times for a comparison.
constexpr base::Millis kRounding(5);

}  // namespace

// The difference of a clock that did not jump is at least the time that has
// passed. Of n clocks, at most f = (n - 1) / 2 jump, so that of the f + 1
// smallest differences at least one is of a clock that did not, and the largest
// of these is at least as large.
ElapsedBound::ElapsedBound(const WallClocks& before, const WallClocks& after) {
  if (before.size() < kMinClocks) {
    return;
  }
  std::vector<base::Millis> differences;
  for (const auto& [router, earlier] : before) {
    const auto found = after.find(router);
    if (found != after.end()) {
      differences.push_back(found->second - earlier);
    }
  }
  const size_t jumping = (before.size() - 1) / 2;
  if (differences.size() <= jumping) {
    return;
  }
  has_quorum_ = true;
  is_complete_ = differences.size() == before.size();
  const auto at = differences.begin() + static_cast<std::ptrdiff_t>(jumping);
  std::nth_element(differences.begin(), at, differences.end());
  if (*at >= base::Millis(0)) {
    at_most_ = *at + base::Millis(at->count() / kSlewDivisor) + kRounding;
  }
}

}  // namespace godwit::ledger
