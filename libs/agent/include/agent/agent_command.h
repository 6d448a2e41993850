#ifndef AGENT_AGENT_COMMAND_H_
#define AGENT_AGENT_COMMAND_H_

#include <variant>

#include "agent/call_backend.h"
#include "agent/cancel_backend.h"
#include "agent/drained.h"
#include "agent/pause_backend.h"
#include "agent/resume_backend.h"
#include "agent/send_message.h"
#include "agent/send_order.h"

namespace godwit::agent {

// Commands that an AgentCore issues to its caller, which performs the I/O.
using AgentCommand = std::variant<SendMessage,
                                  CallBackend,
                                  CancelBackend,
                                  PauseBackend,
                                  ResumeBackend,
                                  SendOrder,
                                  Drained>;

}  // namespace godwit::agent

#endif  // AGENT_AGENT_COMMAND_H_
