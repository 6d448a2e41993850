#ifndef CONFIG_CONFIG_SYNC_EVENT_H_
#define CONFIG_CONFIG_SYNC_EVENT_H_

#include <variant>

#include "config/config_pulled.h"
#include "config/config_pushed.h"
#include "config/config_sync_tick.h"
#include "config/kv_watch_answered.h"
#include "config/kv_watch_failed.h"
#include "config/peer_disconnected.h"
#include "config/peer_revision.h"

namespace godwit::config {

// Events that ConfigSync handles.
using ConfigSyncEvent = std::variant<KvWatchAnswered,
                                     KvWatchFailed,
                                     PeerRevision,
                                     PeerDisconnected,
                                     ConfigPushed,
                                     ConfigPulled,
                                     ConfigSyncTick>;

}  // namespace godwit::config

#endif  // CONFIG_CONFIG_SYNC_EVENT_H_
