#ifndef PLATFORM_KV_PAGE_H_
#define PLATFORM_KV_PAGE_H_

#include <vector>

#include "platform/kv_item.h"
#include "platform/kv_version.h"

namespace godwit::platform {

// One page of the keys with a prefix, sorted by key.
struct KvPage {
  std::vector<KvItem> items;
  // True when more keys follow the last one.
  bool truncated = false;
  // Revision of the KV when the page was read.
  KvVersion revision;
};

}  // namespace godwit::platform

#endif  // PLATFORM_KV_PAGE_H_
