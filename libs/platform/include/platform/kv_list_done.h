#ifndef PLATFORM_KV_LIST_DONE_H_
#define PLATFORM_KV_LIST_DONE_H_

#include <optional>

#include "platform/kv_page.h"

namespace godwit::platform {

// Event: outcome of listing keys; `page` is empty when the KV was unavailable.
struct KvListDone {
  std::optional<KvPage> page;
};

}  // namespace godwit::platform

#endif  // PLATFORM_KV_LIST_DONE_H_
