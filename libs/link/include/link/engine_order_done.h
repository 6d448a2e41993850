#ifndef LINK_ENGINE_ORDER_DONE_H_
#define LINK_ENGINE_ORDER_DONE_H_

#include <cstdint>
#include <string>
#include <tuple>

namespace godwit::link {

// Agent to router: outcome of an EngineOrder.
struct EngineOrderDone {
  // Name of the command.
  std::string order;
  // Fencing number of the command.
  int64_t fence = 0;
  // True when the backend server executed the command.
  bool done = false;
  // Reason for the failure when `done` is false.
  std::string message;

  // Calls visit(name, field) for each field, in wire order.
  template <typename Self, typename Visit>
  static void ForEachField(Self& self, Visit&& visit) {
    visit("order", self.order);
    visit("fence", self.fence);
    visit("done", self.done);
    visit("message", self.message);
  }

  friend bool operator==(const EngineOrderDone& a, const EngineOrderDone& b) {
    return std::tie(a.order, a.fence, a.done, a.message) ==
           std::tie(b.order, b.fence, b.done, b.message);
  }
  friend bool operator!=(const EngineOrderDone& a, const EngineOrderDone& b) {
    return !(a == b);
  }
};

}  // namespace godwit::link

#endif  // LINK_ENGINE_ORDER_DONE_H_
