#ifndef PLATFORM_KV_ITEM_H_
#define PLATFORM_KV_ITEM_H_

#include <string>
#include <tuple>

#include "platform/kv_version.h"

namespace godwit::platform {

// A key of the KV with its value.
struct KvItem {
  std::string key;
  std::string value;
  // Revision of its last change.
  KvVersion version;

  friend bool operator==(const KvItem& a, const KvItem& b) {
    return std::tie(a.key, a.value, a.version) ==
           std::tie(b.key, b.value, b.version);
  }
  friend bool operator!=(const KvItem& a, const KvItem& b) { return !(a == b); }
};

}  // namespace godwit::platform

#endif  // PLATFORM_KV_ITEM_H_
