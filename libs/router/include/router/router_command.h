#ifndef ROUTER_ROUTER_COMMAND_H_
#define ROUTER_ROUTER_COMMAND_H_

#include <variant>

#include "platform/kv_read.h"
#include "platform/kv_write.h"
#include "router/answer_abort.h"
#include "router/answer_bytes.h"
#include "router/answer_end.h"
#include "router/answer_error.h"
#include "router/answer_head.h"
#include "router/close_link.h"
#include "router/complete_answer.h"
#include "router/dial_agent.h"
#include "router/drained.h"
#include "router/request_ended.h"
#include "router/send_message.h"

namespace godwit::router {

// Any action that a RouterCore requests from the process that hosts it.
using RouterCommand = std::variant<CompleteAnswer,
                                   AnswerHead,
                                   AnswerBytes,
                                   AnswerEnd,
                                   AnswerAbort,
                                   AnswerError,
                                   SendMessage,
                                   DialAgent,
                                   CloseLink,
                                   platform::KvRead,
                                   platform::KvWrite,
                                   RequestEnded,
                                   Drained>;

}  // namespace godwit::router

#endif  // ROUTER_ROUTER_COMMAND_H_
