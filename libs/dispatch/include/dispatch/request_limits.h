#ifndef DISPATCH_REQUEST_LIMITS_H_
#define DISPATCH_REQUEST_LIMITS_H_

#include <map>
#include <optional>
#include <set>
#include <string>

#include "base/millis.h"
#include "dispatch/backend.h"
#include "dispatch/backend_limit_changed.h"
#include "dispatch/reply.h"

namespace godwit::dispatch {

// The limits that backend servers state in their answers, on the requests a
// second that they take from all routers together. A limit belongs to one
// incarnation of a server. No I/O. Not thread-safe.
class RequestLimits {
 public:
  // Handles the answer to an attempt that was sent at `sent_at`. Returns the
  // change of the server's limit, if there is one.
  std::optional<BackendLimitChanged> OnAnswer(base::Millis now,
                                              base::Millis sent_at,
                                              const Backend& backend,
                                              const Reply& reply);

 private:
  struct Limit {
    double rate = 0;
    base::Millis confirmed_at;
  };

  // By Backend::key().
  std::map<std::string, Limit> limits_;
  // Keys of the servers that stated a limit that can't be read.
  std::set<std::string> unreadable_;
};

}  // namespace godwit::dispatch

#endif  // DISPATCH_REQUEST_LIMITS_H_
