#ifndef CONFIG_CONFIG_SYNC_OPTIONS_H_
#define CONFIG_CONFIG_SYNC_OPTIONS_H_

#include "base/millis.h"

namespace godwit::config {

// Timeouts and delays of ConfigSync.
struct ConfigSyncOptions {
  // Maximum duration of a watch at the KV.
  base::Millis watch_wait = base::Seconds(8);
  // Delay of the next watch after the KV failed or returned a lower version
  // than before.
  base::Millis kv_retry = base::Seconds(1);
  // Timeout of a pull.
  base::Millis pull_timeout = base::Seconds(1);
  // Delay before a rejected revision is pulled again.
  base::Millis reject_pause = base::Seconds(10);
  // Time that a new process waits for peers to report their revision while the
  // KV is unavailable.
  base::Millis peer_wait = base::Seconds(3);
};

}  // namespace godwit::config

#endif  // CONFIG_CONFIG_SYNC_OPTIONS_H_
