#ifndef AGENT_WAIT_ESTIMATE_H_
#define AGENT_WAIT_ESTIMATE_H_

#include <cstdint>

#include "base/millis.h"

namespace godwit::agent {

// Estimates the wait for the backend server from the duration of recent runs.
class WaitEstimate {
 public:
  // Records that a run occupied its slot at the backend server for `span`.
  void AddRunDuration(base::Millis span) noexcept;

  // Returns the estimated wait behind `ahead` runs when all `slots` are
  // occupied.
  base::Millis EstimateWait(int64_t ahead, int64_t slots) const noexcept;

 private:
  // Moving average in microseconds; zero before the first run.
  int64_t average_micros_ = 0;
};

}  // namespace godwit::agent

#endif  // AGENT_WAIT_ESTIMATE_H_
