#ifndef LINK_ATTACH_RUN_H_
#define LINK_ATTACH_RUN_H_

#include <cstdint>
#include <tuple>

#include "base/digest.h"
#include "base/ids.h"

namespace godwit::link {

// Router to agent: send the answer of a run from an offset onwards, over this
// link from now on.
struct AttachRun {
  // Digest of the organisation and its idempotency key.
  base::Digest key;
  // The run.
  base::AttemptId attempt;
  // Offset of the first answer byte that the router is missing.
  int64_t offset = 0;
  // Initial flow-control credit, in answer bytes.
  int64_t credit = 0;

  // Calls visit(name, field) for each field, in wire order.
  template <typename Self, typename Visit>
  static void ForEachField(Self& self, Visit&& visit) {
    visit("key", self.key);
    visit("attempt", self.attempt);
    visit("offset", self.offset);
    visit("credit", self.credit);
  }

  friend bool operator==(const AttachRun& a, const AttachRun& b) {
    return std::tie(a.key, a.attempt, a.offset, a.credit) ==
           std::tie(b.key, b.attempt, b.offset, b.credit);
  }
  friend bool operator!=(const AttachRun& a, const AttachRun& b) {
    return !(a == b);
  }
};

}  // namespace godwit::link

#endif  // LINK_ATTACH_RUN_H_
