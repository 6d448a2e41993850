#ifndef ADMISSION_PENDING_ENTRY_H_
#define ADMISSION_PENDING_ENTRY_H_

#include <cstdint>

#include "base/millis.h"

namespace godwit::admission {

// A request that waits for capacity.
struct PendingEntry {
  // Chosen by the caller; unique in the queue.
  int64_t id = 0;
  // Higher goes first; 0 to 100.
  int64_t priority = 50;
  // Time at which the request expires.
  base::Millis deadline;
};

}  // namespace godwit::admission

#endif  // ADMISSION_PENDING_ENTRY_H_
