#ifndef PLATFORM_KV_CONDITION_H_
#define PLATFORM_KV_CONDITION_H_

#include <cstdint>
#include <string>

namespace godwit::platform {

// A version that another key must have for a write to take effect.
struct KvCondition {
  std::string key;
  int64_t version = 0;
};

}  // namespace godwit::platform

#endif  // PLATFORM_KV_CONDITION_H_
