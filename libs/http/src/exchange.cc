#include "http/exchange.h"

#include <utility>

#include "exchange_state.h"

namespace godwit::http {

Exchange::State::State(Request received, std::shared_ptr<Wire> connection)
    : request(std::move(received)), wire(std::move(connection)) {}

void Exchange::State::Drained(size_t bytes) {
  queued_bytes -= bytes;
  if (drained) {
    drained(bytes);
  }
}

void Exchange::State::CallerDisconnected() {
  caller_disconnected = true;
  drained = nullptr;
  if (auto call = std::exchange(gone, nullptr)) {
    call();
  }
}

void Exchange::State::Finished() {
  finished = true;
  drained = nullptr;
  gone = nullptr;
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
  state_->wire->Respond(std::move(response));
}

void Exchange::BeginStream(int status, Headers headers) {
  if (state_->ended || state_->streaming) {
    return;
  }
  state_->streaming = true;
  state_->wire->BeginStream(status, std::move(headers));
}

void Exchange::Write(std::string_view bytes) {
  if (state_->ended || !state_->streaming || bytes.empty()) {
    return;
  }
  state_->queued_bytes += bytes.size();
  state_->wire->Write(std::string(bytes));
}

size_t Exchange::queued_bytes() const noexcept {
  return state_->queued_bytes;
}

void Exchange::OnDrained(std::function<void(size_t bytes)> drained) {
  if (!state_->caller_disconnected) {
    state_->drained = std::move(drained);
  }
}

void Exchange::EndStream() {
  if (state_->ended || !state_->streaming) {
    return;
  }
  state_->ended = true;
  state_->wire->EndStream();
}

void Exchange::Abort() {
  if (state_->ended) {
    return;
  }
  state_->ended = true;
  state_->wire->Abort();
}

void Exchange::OnCallerDisconnected(std::function<void()> gone) {
  if (state_->caller_disconnected) {
    gone();
    return;
  }
  if (!state_->finished) {
    state_->gone = std::move(gone);
  }
}

}  // namespace godwit::http
