#include "base/clocks.h"

#include <chrono>

namespace godwit::base {
namespace {

template <typename Clock>
Millis Read() noexcept {
  const auto elapsed = Clock::now().time_since_epoch();
  return Millis(
      std::chrono::duration_cast<std::chrono::milliseconds>(elapsed).count());
}

}  // namespace

Millis SteadyNow() noexcept {
  return Read<std::chrono::steady_clock>();
}

Millis WallNow() noexcept {
  return Read<std::chrono::system_clock>();
}

}  // namespace godwit::base
