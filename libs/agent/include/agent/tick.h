#ifndef AGENT_TICK_H_
#define AGENT_TICK_H_

namespace godwit::agent {

// Event: time has passed. Must be delivered at least every 100 ms.
struct Tick {
  friend bool operator==(const Tick& /*a*/, const Tick& /*b*/) { return true; }
  friend bool operator!=(const Tick& /*a*/, const Tick& /*b*/) { return false; }
};

}  // namespace godwit::agent

#endif  // AGENT_TICK_H_
