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

// Carries out an AgentCore's calls to the backend server, each in a fiber of
// its own. Core thread; must outlive the runtime's run.
class BackendCaller {
 public:
  struct Settings {
    base::Endpoint backend;
    config::ServiceKind kind = config::ServiceKind::kPlain;
    // Longest time without progress of an answer.
    base::Millis idle_timeout;
  };

  BackendCaller(runtime::Runtime& runtime,
                const Settings& settings,
                std::function<void(const agent::AgentEvent&)> on_event);
  ~BackendCaller();

  // Each call ends with BackendEnd or BackendFailed.
  void Call(const agent::CallBackend& command);
  void Cancel(const base::AttemptId& attempt);
  // Holds back and lets go on the reading of an answer.
  void Pause(const base::AttemptId& attempt);
  void Resume(const base::AttemptId& attempt);
  // Ends with OrderFinished.
  void Order(const agent::SendOrder& command);

 private:
  // A call that has not ended.
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
