#include "attempt_relay.h"

#include "adapter/messages.h"
#include "dispatch/attempt_failure.h"
#include "exchange.h"
#include "relay/caller_session.h"
#include "relay/upstream_pool.h"

namespace godwit::edge {
namespace {

using dispatch::AttemptFailure;

constexpr int kOk = 200;
// Longer answers are handed on as they arrive.
constexpr size_t kMostHeldBytes = size_t{256} * 1024;

AttemptFailure FailureOf(relay::AnswerHandler::Failure failure) {
  switch (failure) {
    case relay::AnswerHandler::Failure::kNotSent:
      return AttemptFailure::kNotSent;
    case relay::AnswerHandler::Failure::kLost:
      return AttemptFailure::kLost;
    case relay::AnswerHandler::Failure::kDamaged:
      break;
  }
  return AttemptFailure::kDamaged;
}

}  // namespace

AttemptRelay::AttemptRelay(Exchange& exchange, int64_t attempt, bool is_stream)
    : exchange_(&exchange), attempt_(attempt), is_stream_(is_stream) {}

bool AttemptRelay::IsEventStream() const {
  return is_stream_ && head_ && head_->status == kOk;
}

bool AttemptRelay::OnHead(const relay::AnswerHead& head) {
  if (exchange_ == nullptr ||
      !adapter::AnswersRequest(head, exchange_->request_id_)) {
    return false;
  }
  head_ = head;
  return true;
}

bool AttemptRelay::Announce(bool whole) {
  announced_ = true;
  ended_ = whole;
  exchange_->events_.Raise(dispatch::AttemptAnswered{
      exchange_->call_, attempt_, adapter::DecodeReply(*head_), whole});
  return relaying_;
}

void AttemptRelay::OnBody(std::string_view bytes) {
  const auto self = shared_from_this();
  if (exchange_ == nullptr) {
    return;
  }
  if (IsEventStream()) {
    OnStreamBody(bytes);
    return;
  }
  if (relaying_) {
    exchange_->HandOn(bytes);
    return;
  }
  held_.append(bytes);
  if (held_.size() > kMostHeldBytes && !announced_) {
    Announce(false);
  }
}

void AttemptRelay::OnStreamBody(std::string_view bytes) {
  const std::string_view ready = exchange_->framer_.Feed(bytes);
  if (ready.empty()) {
    return;
  }
  if (!announced_) {
    // The dispatcher may drop the answer, and the framer with it.
    held_ = std::string(ready);
    if (!Announce(false) || exchange_ == nullptr) {
      return;
    }
  } else {
    exchange_->HandOn(ready);
  }
  dispatch::AttemptProgressed progress;
  progress.call = exchange_->call_;
  progress.attempt = attempt_;
  progress.events = exchange_->framer_.events();
  progress.last_event = exchange_->framer_.last_id();
  exchange_->events_.Raise(progress);
}

void AttemptRelay::Relay() {
  relaying_ = true;
  relay::CallerSession& session = *exchange_->session_;
  const bool has_length = ended_ || head_->content_length.has_value();
  if (!exchange_->begun_) {
    exchange_->begun_ = true;
    std::string lines =
        adapter::EncodeAnswer(*head_, has_length && !IsEventStream());
    if (ended_ && !head_->content_length) {
      relay::AppendHeader(lines, "Content-Length",
                          std::to_string(held_.size()));
    }
    session.Begin(head_->status, lines, has_length && !IsEventStream());
  }
  exchange_->HandOn(held_);
  held_.clear();
  if (ended_) {
    session.End();
  }
}

void AttemptRelay::OnEnd() {
  const auto self = shared_from_this();
  if (exchange_ == nullptr) {
    return;
  }
  if (IsEventStream() && exchange_->framer_.pending_bytes() > 0) {
    // The stream ended within an event.
    OnFailure(Failure::kDamaged);
    return;
  }
  if (!announced_) {
    Announce(true);
    return;
  }
  if (relaying_) {
    exchange_->session_->End();
  }
  exchange_->events_.Raise(dispatch::AttemptEnded{exchange_->call_, attempt_});
}

void AttemptRelay::OnFailure(Failure failure) {
  const auto self = shared_from_this();
  if (exchange_ != nullptr) {
    exchange_->events_.Raise(dispatch::AttemptFailed{exchange_->call_, attempt_,
                                                     FailureOf(failure)});
  }
}

}  // namespace godwit::edge
