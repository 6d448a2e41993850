#include "base/clocks.h"

#include <ctime>

namespace godwit::base {
namespace {

constexpr int64_t kMillisPerSecond = 1000;
constexpr int64_t kNanosPerMilli = 1'000'000;

Millis Read(clockid_t clock) noexcept {
  timespec time{};
  clock_gettime(clock, &time);
  return Millis(time.tv_sec * kMillisPerSecond + time.tv_nsec / kNanosPerMilli);
}

}  // namespace

Millis SteadyNow() noexcept {
  return Read(CLOCK_BOOTTIME);
}

Millis WallNow() noexcept {
  return Read(CLOCK_REALTIME);
}

}  // namespace godwit::base
