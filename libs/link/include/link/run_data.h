#ifndef LINK_RUN_DATA_H_
#define LINK_RUN_DATA_H_

#include <cstdint>
#include <string>
#include <tuple>

#include "base/digest.h"
#include "base/ids.h"

namespace godwit::link {

// Agent to router: a piece of the answer.
struct RunData {
  // Digest of the organisation and its idempotency key.
  base::Digest key;
  // The run.
  base::AttemptId attempt;
  // Offset of the first byte within the answer.
  int64_t offset = 0;
  // The piece; not empty.
  std::string bytes;
  // Model pools: tokens delivered up to the end of this piece.
  base::Tokens tokens = 0;

  // Calls visit(name, field) for each field, in wire order.
  template <typename Self, typename Visit>
  static void ForEachField(Self& self, Visit&& visit) {
    visit("key", self.key);
    visit("attempt", self.attempt);
    visit("offset", self.offset);
    visit("bytes", self.bytes);
    visit("tokens", self.tokens);
  }

  friend bool operator==(const RunData& a, const RunData& b) {
    return std::tie(a.key, a.attempt, a.offset, a.bytes, a.tokens) ==
           std::tie(b.key, b.attempt, b.offset, b.bytes, b.tokens);
  }
  friend bool operator!=(const RunData& a, const RunData& b) {
    return !(a == b);
  }
};

}  // namespace godwit::link

#endif  // LINK_RUN_DATA_H_
