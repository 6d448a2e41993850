#ifndef CONFIG_SPREAD_TICK_H_
#define CONFIG_SPREAD_TICK_H_

namespace godwit::config {

// Event of Spread: time passed. Due at least every 250 ms.
struct SpreadTick {
  friend bool operator==(const SpreadTick& /*a*/, const SpreadTick& /*b*/) {
    return true;
  }
  friend bool operator!=(const SpreadTick& /*a*/, const SpreadTick& /*b*/) {
    return false;
  }
};

}  // namespace godwit::config

#endif  // CONFIG_SPREAD_TICK_H_
