#ifndef REVIEW_STANDINS_CLOCK_H_
#define REVIEW_STANDINS_CLOCK_H_

#include <cstdint>

namespace godwit::review {

// Milliseconds of the monotonic clock.
int64_t NowMs();
void SleepMs(int64_t duration);
// Returns at once if `time` has passed.
void SleepUntilMs(int64_t time);

}  // namespace godwit::review

#endif  // REVIEW_STANDINS_CLOCK_H_
