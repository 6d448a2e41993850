#ifndef PLATFORM_KV_READ_DONE_H_
#define PLATFORM_KV_READ_DONE_H_

#include <cstdint>
#include <string>

#include "platform/kv_version.h"

namespace godwit::platform {

// Event for a state machine: outcome of a KvRead.
struct KvReadDone {
  int64_t operation = 0;
  // False when the KV was unavailable; `version` and `value` are then not set.
  bool available = false;
  // Version of the key.
  KvVersion version;
  std::string value;
};

}  // namespace godwit::platform

#endif  // PLATFORM_KV_READ_DONE_H_
