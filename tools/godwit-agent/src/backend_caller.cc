#include "backend_caller.h"

#include <boost/fiber/condition_variable.hpp>
#include <boost/fiber/mutex.hpp>
#include <mutex>
#include <nlohmann/json.hpp>
#include <optional>
#include <utility>

#include "agent/engine_request.h"
#include "http/client_call.h"
#include "http/request.h"
#include "http/response.h"
#include "runtime/runtime.h"

namespace godwit::agent_daemon {
namespace {

constexpr char kOrderPath[] = "/order";
constexpr int kOk = 200;

http::Request MakeRequest(const link::StartRun& start,
                          config::ServiceKind kind) {
  http::Request request;
  request.method = start.method;
  request.target = start.path;
  request.headers["x-request-id"] = start.attempt.value();
  request.headers["idempotency-key"] = start.key.ToHex();
  request.headers["x-priority"] = std::to_string(start.priority);
  if (!start.content_type.empty()) {
    request.headers["content-type"] = start.content_type;
  }
  request.body = kind == config::ServiceKind::kModelPool
                     ? agent::EngineRequestBody(start)
                     : start.body;
  return request;
}

std::string ContentTypeOf(const http::Response& response) {
  const auto field = response.headers.find("content-type");
  return field == response.headers.end() ? std::string() : field->second;
}

}  // namespace

struct BackendCaller::CallState {
  // Blocks the calling fiber while the answer is paused.
  void AwaitResume() {
    std::unique_lock<boost::fibers::mutex> lock(mutex);
    resumed.wait(lock, [this] { return !paused || cancelled; });
  }

  void SetFlags(bool pause, bool cancel) {
    {
      const std::lock_guard<boost::fibers::mutex> lock(mutex);
      paused = pause;
      cancelled = cancelled || cancel;
    }
    resumed.notify_all();
  }

  boost::fibers::mutex mutex;
  boost::fibers::condition_variable resumed;
  bool paused = false;
  bool cancelled = false;
  // Null unless the HTTP call is in progress.
  http::ClientCall* call = nullptr;
};

BackendCaller::BackendCaller(
    runtime::Runtime& runtime,
    const Settings& settings,
    std::function<void(const agent::AgentEvent&)> on_event)
    : runtime_(runtime),
      settings_(settings),
      on_event_(std::move(on_event)),
      pool_(runtime, settings.backend.ip, settings.backend.port) {
  // Answers carry no id of the request, so that a late copy of one could not be
  // told from the answer to the next request on its connection.
  pool_.MaxIdleTime(base::Millis());
}

BackendCaller::~BackendCaller() = default;

void BackendCaller::Call(const agent::CallBackend& command) {
  const auto state = std::make_shared<CallState>();
  calls_[command.attempt] = state;
  runtime_.Spawn([this, command, state] { Perform(command, *state); });
}

void BackendCaller::Cancel(const base::AttemptId& attempt) {
  const auto found = calls_.find(attempt);
  if (found == calls_.end()) {
    return;
  }
  const std::shared_ptr<CallState> state = found->second;
  state->SetFlags(false, true);
  if (state->call != nullptr) {
    state->call->Cancel();
  }
}

void BackendCaller::Pause(const base::AttemptId& attempt) {
  const auto found = calls_.find(attempt);
  if (found != calls_.end()) {
    found->second->SetFlags(true, false);
  }
}

void BackendCaller::Resume(const base::AttemptId& attempt) {
  const auto found = calls_.find(attempt);
  if (found != calls_.end()) {
    found->second->SetFlags(false, false);
  }
}

void BackendCaller::Perform(const agent::CallBackend& command,
                            CallState& state) {
  const base::AttemptId& attempt = command.attempt;
  const bool is_model = settings_.kind == config::ServiceKind::kModelPool;
  agent::EngineAnswer answer(command.start);
  http::ClientCall call(pool_, MakeRequest(command.start, settings_.kind));
  call.IdleTimeout(settings_.idle_timeout)
      .OnHead([&](const http::Response& head) {
        on_event_(
            agent::BackendHead{attempt, head.status, ContentTypeOf(head)});
      })
      .OnBody([&](std::string_view bytes) {
        ForwardPiece(attempt,
                     is_model
                         ? answer.Feed(bytes)
                         : agent::EngineAnswer::Piece{std::string(bytes), 0},
                     state);
      });
  state.call = &call;
  if (state.cancelled) {
    call.Cancel();
  }
  const auto response = call.Perform();
  state.call = nullptr;
  if (response) {
    ForwardPiece(attempt, answer.Finish(), state);
  }
  calls_.erase(attempt);
  if (response) {
    on_event_(agent::BackendEnd{attempt, answer.prompt_tokens(),
                                answer.completion_tokens(),
                                answer.has_final_event()});
    return;
  }
  on_event_(agent::BackendFailed{attempt, call.sent(), call.last_error().kind(),
                                 call.last_error().message()});
}

void BackendCaller::ForwardPiece(const base::AttemptId& attempt,
                                 agent::EngineAnswer::Piece piece,
                                 CallState& state) {
  if (piece.bytes.empty()) {
    return;
  }
  on_event_(agent::BackendData{attempt, std::move(piece.bytes), piece.tokens});
  state.AwaitResume();
}

void BackendCaller::Order(const agent::SendOrder& command) {
  runtime_.Spawn([this, command] { PerformOrder(command); });
}

void BackendCaller::PerformOrder(const agent::SendOrder& command) {
  http::Request request;
  request.method = "POST";
  request.target = kOrderPath;
  request.headers["content-type"] = "application/json";
  request.body =
      nlohmann::json{{"order", command.order.order},
                     {"argument", command.order.argument},
                     {"fence", command.order.fence}}
          .dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
  http::ClientCall call(pool_, std::move(request));
  const auto response = call.Perform();
  link::EngineOrderDone done;
  done.order = command.order.order;
  done.fence = command.order.fence;
  done.done = response && response->status == kOk;
  if (!response) {
    done.message = call.last_error().ToString();
  } else if (!done.done) {
    done.message = response->body;
  }
  on_event_(agent::OrderFinished{command.connection, std::move(done)});
}

}  // namespace godwit::agent_daemon
