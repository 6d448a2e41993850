#ifndef DISPATCH_BACKEND_LIMIT_CHANGED_H_
#define DISPATCH_BACKEND_LIMIT_CHANGED_H_

#include <optional>
#include <string>

#include "base/ids.h"
#include "base/millis.h"

namespace godwit::dispatch {

// Command: record that a backend server states another limit on the rate of
// requests than before, for logs.
struct BackendLimitChanged {
  std::string instance;
  base::ServiceId service;
  // Requests a second from all routers together; empty if it states none.
  std::optional<double> limit;
  std::optional<double> previous;
  // Time since the previous limit was last confirmed; zero if there was none.
  base::Millis previous_age;
  // The server states a limit that can't be read; the previous one stays.
  bool is_unreadable = false;
};

}  // namespace godwit::dispatch

#endif  // DISPATCH_BACKEND_LIMIT_CHANGED_H_
