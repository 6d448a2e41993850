#ifndef PLATFORM_KV_WRITE_H_
#define PLATFORM_KV_WRITE_H_

#include <cstdint>
#include <string>
#include <vector>

#include "platform/kv_condition.h"

namespace godwit::platform {

// Command of a decision machine: compare-and-swap one key of the KV. Answered
// by KvWriteDone with the same operation number.
struct KvWrite {
  // Chosen by the machine; unique among its open operations.
  int64_t operation = 0;
  std::string key;
  // Version that the key must have; 0 when it must not exist.
  int64_t expected_version = 0;
  // At most 1 MB.
  std::string value;
  // Lease that removes the key when it lapses; empty for a lasting key.
  std::string lease;
  // What must hold beside it. Only clients of a KV with transactions take
  // conditions.
  std::vector<KvCondition> conditions = {};
};

}  // namespace godwit::platform

#endif  // PLATFORM_KV_WRITE_H_
