#ifndef AGENT_WAIT_ESTIMATE_H_
#define AGENT_WAIT_ESTIMATE_H_

#include <cstdint>

#include "base/millis.h"

namespace godwit::agent {

// Predicts how long a run waits for the backend server, from how long recent
// runs took.
class WaitEstimate {
 public:
  // A run held its place at the backend server for `span`.
  void AddRunDuration(base::Millis span) noexcept;

  // Wait behind `ahead` runs when all `places` are taken.
  base::Millis EstimateWait(int64_t ahead, int64_t slots) const noexcept;

 private:
  // Moving average; zero before the first run.
  int64_t average_micros_ = 0;
};

}  // namespace godwit::agent

#endif  // AGENT_WAIT_ESTIMATE_H_
