#include "clock.h"

#include <chrono>
#include <thread>

namespace godwit::review {

int64_t NowMs() {
  return std::chrono::duration_cast<std::chrono::milliseconds>(
             std::chrono::steady_clock::now().time_since_epoch())
      .count();
}

void SleepMs(int64_t duration) {
  if (duration > 0) {
    std::this_thread::sleep_for(std::chrono::milliseconds(duration));
  }
}

void SleepUntilMs(int64_t time) {
  SleepMs(time - NowMs());
}

}  // namespace godwit::review
