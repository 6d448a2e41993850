#ifndef DISPATCH_BACKEND_COLD_CHANGED_H_
#define DISPATCH_BACKEND_COLD_CHANGED_H_

#include <string>

#include "base/ids.h"
#include "base/millis.h"

namespace godwit::dispatch {

// Command: record that a backend server became cold or warm, or stated a time
// that can't be read, for logs.
struct BackendColdChanged {
  std::string instance;
  base::ServiceId service;
  bool is_cold = false;
  // While it is cold: the time until it is warm, and the requests a second that
  // it accepts from all routers together.
  base::Millis remaining;
  double rate = 0;
  // What the server states can't be read, and counts as not stated. The other
  // fields that describe its state are not set.
  bool is_unreadable = false;
};

}  // namespace godwit::dispatch

#endif  // DISPATCH_BACKEND_COLD_CHANGED_H_
