#ifndef PLATFORM_KV_WRITE_DONE_H_
#define PLATFORM_KV_WRITE_DONE_H_

#include <cstdint>

#include "platform/kv_item.h"
#include "platform/write_outcome.h"

namespace godwit::platform {

// Event for a decision machine: outcome of a KvWrite.
struct KvWriteDone {
  int64_t operation = 0;
  WriteOutcome outcome = WriteOutcome::kUnknown;
  // kWon: the new version. Otherwise 0.
  int64_t version = 0;
  // kLost: the key as it is now, where the KV tells; version 0 otherwise.
  KvItem current = {};
};

}  // namespace godwit::platform

#endif  // PLATFORM_KV_WRITE_DONE_H_
