#include "http/client_call.h"

#include <utility>

#include "call_event_queue.h"
#include "call_operation.h"
#include "connection_pool.h"
#include "http/client_pool.h"

namespace godwit::http {
namespace {

// Maximum size of a body that is collected into a response.
constexpr size_t kMaxCollectedBytes = 64 * 1024 * 1024;

}  // namespace

struct ClientCall::State {
  // Consumes one event. Returns true when it ends the call.
  bool Handle(CallEvent& event) {
    return std::visit([this](auto& value) { return On(value); }, event);
  }

  bool On(CallHead& head) {
    response = std::move(head.response);
    if (on_head) {
      on_head(response);
    }
    return false;
  }

  bool On(CallBody& body) {
    if (on_body) {
      on_body(body.bytes);
      return false;
    }
    if (response.body.size() + body.bytes.size() > kMaxCollectedBytes) {
      error = {base::ErrorKind::kTooLarge, "the answer is too large",
               "read it in pieces"};
      operation->Cancel();
      return true;
    }
    response.body += body.bytes;
    return false;
  }

  bool On(CallDone& /*done*/) {
    complete = true;
    return true;
  }

  bool On(CallFailed& failed) {
    error = failed.error;
    sent = failed.sent;
    return true;
  }

  std::shared_ptr<ConnectionPool> connections;
  Request request;
  CallOperation::Timeouts timeouts;
  std::function<void(const Response&)> on_head;
  std::function<void(std::string_view)> on_body;
  std::shared_ptr<CallOperation> operation;
  Response response;
  base::Error error;
  bool cancelled = false;
  bool complete = false;
  bool sent = false;
};

ClientCall::ClientCall(ClientPool& pool, Request request)
    : state_(std::make_shared<State>()) {
  state_->connections = pool.connections_;
  state_->request = std::move(request);
}

ClientCall::~ClientCall() {
  Cancel();
}

ClientCall& ClientCall::IdleTimeout(base::Millis span) {
  state_->timeouts.idle = span;
  return *this;
}

ClientCall& ClientCall::TotalTimeout(base::Millis span) {
  state_->timeouts.total = span;
  return *this;
}

ClientCall& ClientCall::OnHead(std::function<void(const Response&)> head) {
  state_->on_head = std::move(head);
  return *this;
}

ClientCall& ClientCall::OnBody(std::function<void(std::string_view)> body) {
  state_->on_body = std::move(body);
  return *this;
}

std::optional<Response> ClientCall::Perform() {
  const std::shared_ptr<State> state = state_;
  if (state->cancelled) {
    state->error = {base::ErrorKind::kCancelled, "the call was cancelled",
                    "repeat it if it is still needed"};
    return std::nullopt;
  }
  const auto events = std::make_shared<CallEventQueue>();
  state->sent = true;
  state->operation = CallOperation::Make(state->connections, events,
                                         state->request, state->timeouts);
  state->operation->Start();
  bool ended = false;
  while (!ended) {
    bool resume = false;
    CallEvent event = events->Pop(&resume);
    ended = state->Handle(event);
    if (resume && !ended) {
      state->operation->Resume();
    }
  }
  state->operation = nullptr;
  if (!state->complete) {
    return std::nullopt;
  }
  return std::move(state->response);
}

void ClientCall::Cancel() {
  state_->cancelled = true;
  if (state_->operation) {
    state_->operation->Cancel();
  }
}

bool ClientCall::sent() const noexcept {
  return state_->sent;
}

const base::Error& ClientCall::last_error() const noexcept {
  return state_->error;
}

}  // namespace godwit::http
