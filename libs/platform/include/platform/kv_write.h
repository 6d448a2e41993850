#ifndef PLATFORM_KV_WRITE_H_
#define PLATFORM_KV_WRITE_H_

#include <cstdint>
#include <string>
#include <vector>

#include "platform/kv_condition.h"
#include "platform/kv_version.h"

namespace godwit::platform {

// Command of a state machine: compare-and-swap one key of the KV. Answered by a
// KvWriteDone with the same operation number.
struct KvWrite {
  // Chosen by the state machine; unique among its pending operations.
  int64_t operation = 0;
  std::string key;
  // Version that the key must have.
  KvVersion expected_version;
  // At most 1 MB.
  std::string value;
  // Lease that removes the key when it lapses; empty for a persistent key.
  std::string lease;
  // Further conditions for the write to take effect. Supported only by clients
  // of a KV with transactions.
  std::vector<KvCondition> conditions = {};
};

}  // namespace godwit::platform

#endif  // PLATFORM_KV_WRITE_H_
