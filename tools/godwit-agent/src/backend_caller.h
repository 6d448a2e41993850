#ifndef BACKEND_CALLER_H_
#define BACKEND_CALLER_H_

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <string_view>

#include "agent/agent_event.h"
#include "agent/call_backend.h"
#include "agent/engine_answer.h"
#include "agent/send_order.h"
#include "base/endpoint.h"
#include "base/ids.h"
#include "base/millis.h"
#include "config/service_kind.h"
#include "http/client_pool.h"

namespace godwit::http {
class ClientCall;
}

namespace godwit::runtime {
class Runtime;
}

namespace godwit::agent_daemon {

// Executes an AgentCore's calls to the backend server, each in its own fiber.
// Core thread only; must outlive Runtime::Run().
class BackendCaller {
 public:
  struct Settings {
    base::Endpoint backend;
    config::ServiceKind kind = config::ServiceKind::kPlain;
    // Timeout for an answer that makes no progress.
    base::Millis idle_timeout;
  };

  BackendCaller(runtime::Runtime& runtime,
                const Settings& settings,
                std::function<void(const agent::AgentEvent&)> on_event);
  ~BackendCaller();

  // Starts a call. Each call ends with a BackendEnd or BackendFailed event.
  void Call(const agent::CallBackend& command);
  // Cancels a call; no effect if it has ended.
  void Cancel(const base::AttemptId& attempt);
  // Pause and resume reading of an answer; no effect if its call has ended.
  void Pause(const base::AttemptId& attempt);
  void Resume(const base::AttemptId& attempt);
  // Sends an order to the engine; ends with an OrderFinished event.
  void Order(const agent::SendOrder& command);

 private:
  // State of a call that has not ended.
  struct CallState;

  void Perform(const agent::CallBackend& command, CallState& state);
  void ForwardPiece(const base::AttemptId& attempt,
                    agent::EngineAnswer::Piece piece,
                    CallState& state);
  void PerformOrder(const agent::SendOrder& command);

  runtime::Runtime& runtime_;
  const Settings settings_;
  const std::function<void(const agent::AgentEvent&)> on_event_;
  http::ClientPool pool_;
  std::map<base::AttemptId, std::shared_ptr<CallState>> calls_;
};

}  // namespace godwit::agent_daemon

#endif  // BACKEND_CALLER_H_
