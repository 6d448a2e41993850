#ifndef PLATFORM_KV_CONDITION_H_
#define PLATFORM_KV_CONDITION_H_

#include <string>

#include "platform/kv_version.h"

namespace godwit::platform {

// A version that another key must have for a write to take effect.
struct KvCondition {
  std::string key;
  KvVersion version;
};

}  // namespace godwit::platform

#endif  // PLATFORM_KV_CONDITION_H_
