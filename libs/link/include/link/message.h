#ifndef LINK_MESSAGE_H_
#define LINK_MESSAGE_H_

#include <cstdint>
#include <variant>

#include "link/add_credit.h"
#include "link/attach_run.h"
#include "link/cancel_run.h"
#include "link/engine_order.h"
#include "link/engine_order_done.h"
#include "link/forget_grant.h"
#include "link/grant_usage.h"
#include "link/heartbeat.h"
#include "link/hello.h"
#include "link/key_owner.h"
#include "link/pull_config.h"
#include "link/push_config.h"
#include "link/register_key.h"
#include "link/run_accepted.h"
#include "link/run_data.h"
#include "link/run_end.h"
#include "link/run_failed.h"
#include "link/run_head.h"
#include "link/run_refused.h"
#include "link/run_state.h"
#include "link/seal_grant.h"
#include "link/start_run.h"
#include "link/tombstone_run.h"

namespace godwit::link {

// Version of the wire format; both ends of a link must agree.
constexpr uint32_t kProtocolVersion = 1;

// Any message sent over a link. The index of an alternative is its type number
// on the wire; append only.
using Message = std::variant<Hello,
                             Heartbeat,
                             PullConfig,
                             PushConfig,
                             StartRun,
                             AttachRun,
                             AddCredit,
                             CancelRun,
                             TombstoneRun,
                             RunState,
                             RunAccepted,
                             RunRefused,
                             RunHead,
                             RunData,
                             RunEnd,
                             RunFailed,
                             SealGrant,
                             ForgetGrant,
                             GrantUsage,
                             RegisterKey,
                             KeyOwner,
                             EngineOrder,
                             EngineOrderDone>;

}  // namespace godwit::link

#endif  // LINK_MESSAGE_H_
