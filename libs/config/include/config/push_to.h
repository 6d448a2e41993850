#ifndef CONFIG_PUSH_TO_H_
#define CONFIG_PUSH_TO_H_

#include <cstdint>
#include <string>
#include <tuple>

#include "base/ids.h"

namespace godwit::config {

// Command of ConfigSync: send the active configuration to a peer.
struct PushTo {
  base::ProcessId peer;
  int64_t revision = 0;
  std::string text;

  friend bool operator==(const PushTo& a, const PushTo& b) {
    return std::tie(a.peer, a.revision, a.text) ==
           std::tie(b.peer, b.revision, b.text);
  }
  friend bool operator!=(const PushTo& a, const PushTo& b) { return !(a == b); }
};

}  // namespace godwit::config

#endif  // CONFIG_PUSH_TO_H_
