#ifndef LINK_RUN_REFUSED_H_
#define LINK_RUN_REFUSED_H_

#include <string>
#include <tuple>

#include "base/error_kind.h"
#include "base/ids.h"
#include "base/millis.h"

namespace godwit::link {

// Agent to router: the attempt did not start and never will.
struct RunRefused {
  // The attempt.
  base::AttemptId attempt;
  // Kind of error.
  base::ErrorKind kind = base::ErrorKind::kNone;
  // Error message.
  std::string message;
  // Remedy that the caller can apply.
  std::string remedy;
  // Delay before a retry; zero when a retry is of no use.
  base::Millis retry_after;

  // Calls visit(name, field) for each field, in wire order.
  template <typename Self, typename Visit>
  static void ForEachField(Self& self, Visit&& visit) {
    visit("attempt", self.attempt);
    visit("kind", self.kind);
    visit("message", self.message);
    visit("remedy", self.remedy);
    visit("retry_after", self.retry_after);
  }

  friend bool operator==(const RunRefused& a, const RunRefused& b) {
    return std::tie(a.attempt, a.kind, a.message, a.remedy, a.retry_after) ==
           std::tie(b.attempt, b.kind, b.message, b.remedy, b.retry_after);
  }
  friend bool operator!=(const RunRefused& a, const RunRefused& b) {
    return !(a == b);
  }
};

}  // namespace godwit::link

#endif  // LINK_RUN_REFUSED_H_
