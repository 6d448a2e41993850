#include "platform/era_tracker.h"

#include <utility>

namespace godwit::platform {

EraTracker::Verdict EraTracker::OnAnswer(std::optional<int64_t> stated) {
  if (stated && *stated < 0) {
    stated.reset();
  }
  if (!stated) {
    return current_ ? Verdict::kOutdated : Verdict::kCurrent;
  }
  if (*stated < current()) {
    return Verdict::kOutdated;
  }
  const auto before = std::exchange(current_, stated);
  if (!before) {
    return Verdict::kFirstEra;
  }
  return before < stated ? Verdict::kNewEra : Verdict::kCurrent;
}

}  // namespace godwit::platform
