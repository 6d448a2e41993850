#ifndef CONFIG_CONFIG_SYNC_OPTIONS_H_
#define CONFIG_CONFIG_SYNC_OPTIONS_H_

#include "base/millis.h"

namespace godwit::config {

// Times of a ConfigSync machine.
struct ConfigSyncOptions {
  // Longest wait of a watch at the KV.
  base::Millis watch_wait = base::Seconds(8);
  // Pause after the KV failed, or answered with a version lower than before.
  base::Millis kv_retry = base::Seconds(1);
  // Time after which a pull counts as unanswered.
  base::Millis pull_timeout = base::Seconds(1);
  // Pause before a revision that was rejected is pulled again.
  base::Millis reject_pause = base::Seconds(10);
  // Time that peers have to state their revision to a new process while the
  // KV is down.
  base::Millis peer_wait = base::Seconds(3);
};

}  // namespace godwit::config

#endif  // CONFIG_CONFIG_SYNC_OPTIONS_H_
