#ifndef CONFIG_SPREAD_EVENT_H_
#define CONFIG_SPREAD_EVENT_H_

#include <variant>

#include "config/config_pulled.h"
#include "config/config_pushed.h"
#include "config/kv_failed.h"
#include "config/kv_seen.h"
#include "config/peer_gone.h"
#include "config/peer_revision.h"
#include "config/spread_tick.h"

namespace godwit::config {

// What a Spread machine takes.
using SpreadEvent = std::variant<KvSeen,
                                 KvFailed,
                                 PeerRevision,
                                 PeerGone,
                                 ConfigPushed,
                                 ConfigPulled,
                                 SpreadTick>;

}  // namespace godwit::config

#endif  // CONFIG_SPREAD_EVENT_H_
