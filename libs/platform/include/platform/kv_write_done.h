#ifndef PLATFORM_KV_WRITE_DONE_H_
#define PLATFORM_KV_WRITE_DONE_H_

#include <cstdint>

#include "platform/kv_item.h"
#include "platform/kv_version.h"
#include "platform/write_outcome.h"

namespace godwit::platform {

// Event for a state machine: outcome of a KvWrite.
struct KvWriteDone {
  int64_t operation = 0;
  WriteOutcome outcome = WriteOutcome::kUnknown;
  // The new version for kWon.
  KvVersion version;
  // The current state of the key for kLost, if the KV returns it; otherwise a
  // version that does not exist.
  KvItem current = {};
};

}  // namespace godwit::platform

#endif  // PLATFORM_KV_WRITE_DONE_H_
