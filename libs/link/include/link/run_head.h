#ifndef LINK_RUN_HEAD_H_
#define LINK_RUN_HEAD_H_

#include <cstdint>
#include <string>
#include <tuple>

#include "base/digest.h"
#include "base/ids.h"

namespace godwit::link {

// Agent to router: status and content type of the answer, sent before its data
// and again after AttachRun.
struct RunHead {
  // Digest of the organisation and its idempotency key.
  base::Digest key;
  // The run.
  base::AttemptId attempt;
  // HTTP status of the backend server.
  int64_t status = 0;
  // Content type of the answer.
  std::string content_type;

  // Calls visit(name, field) for each field, in wire order.
  template <typename Self, typename Visit>
  static void ForEachField(Self& self, Visit&& visit) {
    visit("key", self.key);
    visit("attempt", self.attempt);
    visit("status", self.status);
    visit("content_type", self.content_type);
  }

  friend bool operator==(const RunHead& a, const RunHead& b) {
    return std::tie(a.key, a.attempt, a.status, a.content_type) ==
           std::tie(b.key, b.attempt, b.status, b.content_type);
  }
  friend bool operator!=(const RunHead& a, const RunHead& b) {
    return !(a == b);
  }
};

}  // namespace godwit::link

#endif  // LINK_RUN_HEAD_H_
