#include "http/exchange.h"

#include <utility>

#include "exchange_state.h"

namespace godwit::http {

Exchange::State::State(Request received,
                       std::shared_ptr<ResponseWriter> connection)
    : request(std::move(received)), response_writer(std::move(connection)) {}

void Exchange::State::Drained(size_t bytes) {
  queued_bytes -= bytes;
  if (on_drained) {
    on_drained(bytes);
  }
}

void Exchange::State::CallerDisconnected() {
  caller_disconnected = true;
  on_drained = nullptr;
  if (auto callback = std::exchange(on_disconnected, nullptr)) {
    callback();
  }
}

void Exchange::State::Finished() {
  finished = true;
  on_drained = nullptr;
  on_disconnected = nullptr;
}

Exchange::Exchange(std::shared_ptr<State> state) noexcept
    : state_(std::move(state)) {}

Exchange::~Exchange() {
  Abort();
}

const Request& Exchange::request() const noexcept {
  return state_->request;
}

void Exchange::Respond(Response response) {
  if (state_->ended || state_->streaming) {
    return;
  }
  state_->ended = true;
  state_->response_writer->Respond(std::move(response));
}

void Exchange::BeginStream(int status, Headers headers) {
  if (state_->ended || state_->streaming) {
    return;
  }
  state_->streaming = true;
  state_->response_writer->BeginStream(status, std::move(headers));
}

void Exchange::Write(std::string_view bytes) {
  if (state_->ended || !state_->streaming || bytes.empty()) {
    return;
  }
  state_->queued_bytes += bytes.size();
  state_->response_writer->Write(std::string(bytes));
}

size_t Exchange::queued_bytes() const noexcept {
  return state_->queued_bytes;
}

void Exchange::OnDrained(std::function<void(size_t bytes)> on_drained) {
  if (!state_->caller_disconnected) {
    state_->on_drained = std::move(on_drained);
  }
}

void Exchange::EndStream() {
  if (state_->ended || !state_->streaming) {
    return;
  }
  state_->ended = true;
  state_->response_writer->EndStream();
}

void Exchange::Abort() {
  if (state_->ended) {
    return;
  }
  state_->ended = true;
  state_->response_writer->Abort();
}

void Exchange::OnCallerDisconnected(std::function<void()> on_disconnected) {
  if (state_->caller_disconnected) {
    on_disconnected();
    return;
  }
  if (!state_->finished) {
    state_->on_disconnected = std::move(on_disconnected);
  }
}

}  // namespace godwit::http
