#ifndef PLATFORM_KV_WRITE_DONE_H_
#define PLATFORM_KV_WRITE_DONE_H_

#include <cstdint>

#include "platform/write_outcome.h"

namespace godwit::platform {

// Event for a decision machine: outcome of a KvWrite.
struct KvWriteDone {
  int64_t operation = 0;
  WriteOutcome outcome = WriteOutcome::kUnknown;
  // kWon: the new version. Otherwise 0.
  int64_t version = 0;
};

}  // namespace godwit::platform

#endif  // PLATFORM_KV_WRITE_DONE_H_
