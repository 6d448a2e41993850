#ifndef LINK_ENGINE_ORDER_H_
#define LINK_ENGINE_ORDER_H_

#include <cstdint>
#include <string>
#include <tuple>

namespace godwit::link {

// Router or operator to agent: an administrative command for the backend
// server, such as loading a model. Answered by EngineOrderDone.
struct EngineOrder {
  // Name of the command.
  std::string order;
  // Argument of the command.
  std::string argument;
  // Fencing number from the KV; the agent refuses one below the highest it
  // has received.
  int64_t fence = 0;

  // Calls visit(name, field) for each field, in wire order.
  template <typename Self, typename Visit>
  static void ForEachField(Self& self, Visit&& visit) {
    visit("order", self.order);
    visit("argument", self.argument);
    visit("fence", self.fence);
  }

  friend bool operator==(const EngineOrder& a, const EngineOrder& b) {
    return std::tie(a.order, a.argument, a.fence) ==
           std::tie(b.order, b.argument, b.fence);
  }
  friend bool operator!=(const EngineOrder& a, const EngineOrder& b) {
    return !(a == b);
  }
};

}  // namespace godwit::link

#endif  // LINK_ENGINE_ORDER_H_
