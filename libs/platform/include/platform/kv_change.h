#ifndef PLATFORM_KV_CHANGE_H_
#define PLATFORM_KV_CHANGE_H_

#include <optional>
#include <string>

#include "platform/kv_version.h"

namespace godwit::platform {

// A change of a key that a watch reported.
struct KvChange {
  std::string key;
  // The new value; empty when the key was removed.
  std::optional<std::string> value;
  // Revision of the change.
  KvVersion version;
};

}  // namespace godwit::platform

#endif  // PLATFORM_KV_CHANGE_H_
