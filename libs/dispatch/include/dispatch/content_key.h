#ifndef DISPATCH_CONTENT_KEY_H_
#define DISPATCH_CONTENT_KEY_H_

#include <cstdint>
#include <tuple>

#include "base/digest.h"
#include "base/ids.h"

namespace godwit::dispatch {

// Identifies what requests of a service have in common and what may crash its
// backend servers.
struct ContentKey {
  enum class Kind : uint8_t {
    // A part of prompts that several requests may have; `id` is its id.
    kPromptPart = 1,
    // A request that its caller repeats; `id` is a digest of both.
    kRequest = 2,
  };

  base::ServiceId service;
  Kind kind = Kind::kPromptPart;
  base::Digest id;

  friend bool operator==(const ContentKey& a, const ContentKey& b) {
    return std::tie(a.service, a.kind, a.id) ==
           std::tie(b.service, b.kind, b.id);
  }
  friend bool operator!=(const ContentKey& a, const ContentKey& b) {
    return !(a == b);
  }
  friend bool operator<(const ContentKey& a, const ContentKey& b) {
    return std::tie(a.id, a.kind, a.service) <
           std::tie(b.id, b.kind, b.service);
  }
};

}  // namespace godwit::dispatch

#endif  // DISPATCH_CONTENT_KEY_H_
