#ifndef LINK_RUN_END_H_
#define LINK_RUN_END_H_

#include <cstdint>
#include <tuple>

#include "base/digest.h"
#include "base/ids.h"

namespace godwit::link {

// Agent to router: the answer is complete. Sent over the link attached last and
// over every link of the router that started the run.
struct RunEnd {
  // Digest of the organisation and its idempotency key.
  base::Digest key;
  // The run.
  base::AttemptId attempt;
  // Length of the complete answer in bytes.
  int64_t length = 0;
  // Digest of the complete answer.
  base::Digest digest;
  // The grant that is charged.
  base::GrantId grant;
  // Tokens billed; at most the reservation.
  base::Tokens billed = 0;

  // Calls visit(name, field) for each field, in wire order.
  template <typename Self, typename Visit>
  static void ForEachField(Self& self, Visit&& visit) {
    visit("key", self.key);
    visit("attempt", self.attempt);
    visit("length", self.length);
    visit("digest", self.digest);
    visit("grant", self.grant);
    visit("billed", self.billed);
  }

  friend bool operator==(const RunEnd& a, const RunEnd& b) {
    return std::tie(a.key, a.attempt, a.length, a.digest, a.grant, a.billed) ==
           std::tie(b.key, b.attempt, b.length, b.digest, b.grant, b.billed);
  }
  friend bool operator!=(const RunEnd& a, const RunEnd& b) { return !(a == b); }
};

}  // namespace godwit::link

#endif  // LINK_RUN_END_H_
