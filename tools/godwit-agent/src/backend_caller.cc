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

struct BackendCaller::Open {
  // Blocks the calling fiber while the answer is held back.
  void AwaitResume() {
    std::unique_lock<boost::fibers::mutex> lock(mutex);
    resumed.wait(lock, [this] { return !paused || cancelled; });
  }

  void Let(bool pause, bool cancel) {
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
  // Null before and after the call itself.
  http::ClientCall* call = nullptr;
};

BackendCaller::BackendCaller(
    runtime::Runtime& runtime,
    const Settings& settings,
    std::function<void(const agent::AgentEvent&)> on_event)
    : runtime_(runtime),
      settings_(settings),
      on_event_(std::move(on_event)),
      pool_(runtime, settings.backend.ip, settings.backend.port) {}

BackendCaller::~BackendCaller() = default;

void BackendCaller::Call(const agent::CallBackend& command) {
  const auto open = std::make_shared<Open>();
  open_[command.attempt] = open;
  runtime_.Spawn([this, command, open] { Perform(command, *open); });
}

void BackendCaller::Cancel(const base::AttemptId& attempt) {
  const auto found = open_.find(attempt);
  if (found == open_.end()) {
    return;
  }
  const std::shared_ptr<Open> open = found->second;
  open->Let(false, true);
  if (open->call != nullptr) {
    open->call->Cancel();
  }
}

void BackendCaller::Pause(const base::AttemptId& attempt) {
  const auto found = open_.find(attempt);
  if (found != open_.end()) {
    found->second->Let(true, false);
  }
}

void BackendCaller::Resume(const base::AttemptId& attempt) {
  const auto found = open_.find(attempt);
  if (found != open_.end()) {
    found->second->Let(false, false);
  }
}

void BackendCaller::Perform(const agent::CallBackend& command, Open& open) {
  const base::AttemptId& attempt = command.attempt;
  const bool is_model = settings_.kind == config::ServiceKind::kModelPool;
  agent::EngineAnswer answer(command.start);
  http::ClientCall call(pool_, MakeRequest(command.start, settings_.kind));
  call.IdleTimeout(settings_.idle_limit)
      .OnHead([&](const http::Response& head) {
        on_event_(
            agent::BackendHead{attempt, head.status, ContentTypeOf(head)});
      })
      .OnBody([&](std::string_view bytes) {
        HandOn(attempt,
               is_model ? answer.Feed(bytes)
                        : agent::EngineAnswer::Piece{std::string(bytes), 0},
               open);
      });
  open.call = &call;
  if (open.cancelled) {
    call.Cancel();
  }
  const auto response = call.Perform();
  open.call = nullptr;
  if (response) {
    HandOn(attempt, answer.Finish(), open);
  }
  open_.erase(attempt);
  if (response) {
    on_event_(agent::BackendEnd{attempt, answer.prompt_tokens(),
                                answer.completion_tokens()});
    return;
  }
  on_event_(agent::BackendFailed{attempt, call.sent(), call.last_error().kind(),
                                 call.last_error().message()});
}

void BackendCaller::HandOn(const base::AttemptId& attempt,
                           agent::EngineAnswer::Piece piece,
                           Open& open) {
  if (piece.bytes.empty()) {
    return;
  }
  on_event_(agent::BackendData{attempt, std::move(piece.bytes), piece.tokens});
  open.AwaitResume();
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
