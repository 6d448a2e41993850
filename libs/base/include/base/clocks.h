#ifndef BASE_CLOCKS_H_
#define BASE_CLOCKS_H_

#include "base/millis.h"

namespace godwit::base {

// Milliseconds of the machine's monotonic clock. It includes the time that the
// machine was suspended, so deadlines expire during a suspension. Any thread.
Millis SteadyNow() noexcept;

// Milliseconds since the Unix epoch. Any thread. May step backwards.
Millis WallNow() noexcept;

}  // namespace godwit::base

#endif  // BASE_CLOCKS_H_
