#ifndef DISPATCH_CONNECTION_LOSSES_H_
#define DISPATCH_CONNECTION_LOSSES_H_

#include <cstdint>
#include <map>
#include <string>

#include "base/millis.h"

namespace godwit::dispatch {

// Tells servers that crash from those that reset single connections: a crash
// ends all connections of this router to the server at the same moment. Handles
// servers with several requests of this router in progress; with one, there is
// nothing to compare. No I/O. Not thread-safe.
class ConnectionLosses {
 public:
  // A connection to a server with this Backend::key() was lost during an
  // attempt; this many attempts are still in progress there. Returns true if
  // all of several connections were lost at the same moment.
  bool OnLost(base::Millis now,
              const std::string& backend,
              int64_t in_progress);

 private:
  struct Losses {
    base::Millis first_at;
    int64_t count = 0;
  };

  // Of the last few milliseconds.
  std::map<std::string, Losses> recent_;
};

}  // namespace godwit::dispatch

#endif  // DISPATCH_CONNECTION_LOSSES_H_
