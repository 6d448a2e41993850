#ifndef DISPATCH_BACKEND_BACKOFF_H_
#define DISPATCH_BACKEND_BACKOFF_H_

#include <map>
#include <set>
#include <string>

#include "base/millis.h"
#include "dispatch/backend.h"
#include "dispatch/reply.h"

namespace godwit::dispatch {

// Backend servers that refused a request and asked to be sent nothing for a
// time. Handles servers that protect themselves from a burst or recover from
// one. Asked by one router's requests, it binds that router only, and ends with
// the server's incarnation. No I/O. Not thread-safe.
class BackendBackoff {
 public:
  // Handles an answer. Returns true if the server asks for a longer time than
  // before.
  bool OnAnswer(base::Millis now, const Backend& backend, const Reply& reply);
  // Forgets the servers whose Backend::key() is not in `keys`.
  void Retain(const std::set<std::string>& keys);

  // True while no server has asked for a time.
  bool empty() const noexcept { return until_.empty(); }
  // When the server may be sent requests again; in the past if it may now.
  base::Millis OpensAt(const Backend& backend) const;
  // Forgets times that have ended. Due every few seconds.
  void Tick(base::Millis now);

 private:
  // By Backend::key().
  std::map<std::string, base::Millis> until_;
};

}  // namespace godwit::dispatch

#endif  // DISPATCH_BACKEND_BACKOFF_H_
