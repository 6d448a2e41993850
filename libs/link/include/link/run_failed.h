#ifndef LINK_RUN_FAILED_H_
#define LINK_RUN_FAILED_H_

#include <string>
#include <tuple>

#include "base/digest.h"
#include "base/error_kind.h"
#include "base/ids.h"

namespace godwit::link {

// Agent to router: the run started and ended without a complete answer. Only
// the usage of a cancelled run is billed.
struct RunFailed {
  // Digest of the organisation and its idempotency key.
  base::Digest key;
  // The run.
  base::AttemptId attempt;
  // Kind of error.
  base::ErrorKind kind = base::ErrorKind::kNone;
  // Error message.
  std::string message;
  // Remedy that the caller can apply.
  std::string remedy;
  // The grant that is charged.
  base::GrantId grant;
  // Tokens billed; zero unless the caller cancelled.
  base::Tokens billed = 0;

  // Calls visit(name, field) for each field, in wire order.
  template <typename Self, typename Visit>
  static void ForEachField(Self& self, Visit&& visit) {
    visit("key", self.key);
    visit("attempt", self.attempt);
    visit("kind", self.kind);
    visit("message", self.message);
    visit("remedy", self.remedy);
    visit("grant", self.grant);
    visit("billed", self.billed);
  }

  friend bool operator==(const RunFailed& a, const RunFailed& b) {
    return std::tie(a.key, a.attempt, a.kind, a.message, a.remedy, a.grant,
                    a.billed) == std::tie(b.key, b.attempt, b.kind, b.message,
                                          b.remedy, b.grant, b.billed);
  }
  friend bool operator!=(const RunFailed& a, const RunFailed& b) {
    return !(a == b);
  }
};

}  // namespace godwit::link

#endif  // LINK_RUN_FAILED_H_
