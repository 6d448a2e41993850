#ifndef LINK_ADD_CREDIT_H_
#define LINK_ADD_CREDIT_H_

#include <cstdint>
#include <tuple>

#include "base/ids.h"

namespace godwit::link {

// Router to agent: grants flow-control credit after the caller has consumed
// answer bytes.
struct AddCredit {
  // The run.
  base::AttemptId attempt;
  // Additional answer bytes that the agent may send.
  int64_t bytes = 0;

  // Calls visit(name, field) for each field, in wire order.
  template <typename Self, typename Visit>
  static void ForEachField(Self& self, Visit&& visit) {
    visit("attempt", self.attempt);
    visit("bytes", self.bytes);
  }

  friend bool operator==(const AddCredit& a, const AddCredit& b) {
    return std::tie(a.attempt, a.bytes) == std::tie(b.attempt, b.bytes);
  }
  friend bool operator!=(const AddCredit& a, const AddCredit& b) {
    return !(a == b);
  }
};

}  // namespace godwit::link

#endif  // LINK_ADD_CREDIT_H_
