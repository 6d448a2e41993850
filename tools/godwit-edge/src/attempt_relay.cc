#include "attempt_relay.h"

#include <utility>

#include "adapter/messages.h"
#include "discarded_answer.h"
#include "dispatch/attempt_failure.h"
#include "exchange.h"
#include "relay/caller_session.h"
#include "relay/upstream_pool.h"

namespace godwit::edge {
namespace {

using dispatch::AttemptFailure;

constexpr int kOk = 200;
// Servers may leave the type out.
constexpr char kEventStreamType[] = "text/event-stream";

AttemptFailure ToAttemptFailure(relay::AnswerHandler::Failure failure) {
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

AttemptRelay::AttemptRelay(Exchange& exchange,
                           const dispatch::StartAttempt& attempt)
    : exchange_(&exchange),
      attempt_(attempt.attempt),
      backend_(attempt.backend.instance),
      is_stream_(attempt.is_stream),
      framer_(exchange.position_, attempt.is_resumable) {}

bool AttemptRelay::OnHead(const relay::AnswerHead& head) {
  const auto self = shared_from_this();
  if (exchange_ == nullptr) {
    return false;
  }
  const std::string id = adapter::RequestIdOf(head);
  // An answer without an id may be a copy of one to an earlier request.
  const bool is_attributable = !id.empty() || head.is_first;
  if (!is_attributable ||
      !adapter::MatchesRequestId(head, exchange_->request_id_)) {
    exchange_->events_.Report(
        DiscardedAnswer{exchange_->request_id_, backend_, id, head.status});
    if (!is_attributable) {
      Break(AttemptFailure::kUnattributable);
    }
    return false;
  }
  head_ = head;
  const std::string type =
      relay::MediaType(head.headers.Find("Content-Type").value_or(""));
  is_event_stream_ = is_stream_ && head.status == kOk &&
                     (type.empty() || type == kEventStreamType);
  return true;
}

bool AttemptRelay::ReportAnswer(bool complete) {
  reported_ = true;
  complete_ = complete;
  exchange_->events_.Raise(dispatch::AttemptAnswered{
      exchange_->call_, attempt_, adapter::DecodeReply(*head_), complete});
  return relaying_;
}

void AttemptRelay::ReportReceived(bool repeats_event) {
  exchange_->events_.Raise(
      dispatch::AttemptReceived{exchange_->call_, attempt_, repeats_event});
}

void AttemptRelay::OnBody(std::string_view bytes) {
  const auto self = shared_from_this();
  if (exchange_ == nullptr) {
    return;
  }
  if (is_event_stream_) {
    OnStreamBody(bytes);
    return;
  }
  ReportReceived(false);
  if (exchange_ == nullptr) {
    return;
  }
  if (relaying_) {
    exchange_->ForwardToCaller(bytes);
    return;
  }
  buffered_.append(bytes);
  // Longer answers are forwarded as they arrive.
  if (buffered_.size() > exchange_->session_->buffer_share() && !reported_) {
    ReportAnswer(false);
  }
}

void AttemptRelay::OnStreamBody(std::string_view bytes) {
  const int64_t events = framer_.position().events;
  const int64_t repeats = framer_.repeats();
  const std::string_view ready = framer_.Feed(bytes);
  if (framer_.position().events > events) {
    OnEvents(ready);
  } else {
    OnComments(ready, framer_.repeats() > repeats);
  }
  if (exchange_ != nullptr && framer_.is_overlong()) {
    Break(AttemptFailure::kDamaged);
  } else if (exchange_ != nullptr && framer_.is_out_of_order()) {
    Break(AttemptFailure::kOutOfOrder);
  }
}

void AttemptRelay::Break(AttemptFailure failure) {
  exchange_->servers_.Cancel(upstream);
  exchange_->events_.Raise(
      dispatch::AttemptFailed{exchange_->call_, attempt_, failure});
}

void AttemptRelay::OnEvents(std::string_view ready) {
  if (reported_) {
    exchange_->ForwardToCaller(ready);
  } else {
    buffered_.append(ready);
    if (!ReportAnswer(false) || exchange_ == nullptr) {
      return;
    }
  }
  exchange_->position_ = framer_.position();
  dispatch::AttemptProgressed progress;
  progress.call = exchange_->call_;
  progress.attempt = attempt_;
  progress.events = framer_.position().events;
  progress.last_event = framer_.position().last_id;
  exchange_->events_.Raise(progress);
}

void AttemptRelay::OnComments(std::string_view ready, bool repeats_event) {
  if (relaying_) {
    exchange_->ForwardToCaller(ready);
  } else {
    // Comments before the first event go with it.
    buffered_.append(ready);
  }
  ReportReceived(repeats_event);
}

void AttemptRelay::Relay(bool may_have_run_before) {
  relaying_ = true;
  relay::CallerSession& session = *exchange_->session_;
  if (!exchange_->head_sent_) {
    exchange_->head_sent_ = true;
    // The length of an event stream is open: another server may continue it.
    const bool has_length =
        !is_event_stream_ && (complete_ || head_->content_length.has_value());
    std::string lines =
        adapter::EncodeAnswer(*head_, has_length, may_have_run_before);
    if (has_length && !head_->content_length) {
      relay::AppendHeader(lines, "Content-Length",
                          std::to_string(buffered_.size()));
    }
    session.Begin(head_->status, lines, has_length);
  }
  exchange_->ForwardToCaller(std::exchange(buffered_, {}));
  if (complete_) {
    session.End();
  }
}

void AttemptRelay::OnEnd() {
  const auto self = shared_from_this();
  if (exchange_ == nullptr) {
    return;
  }
  if (is_event_stream_ && (framer_.pending_bytes() > 0 ||
                           (!reported_ && relay::EndsWithConnection(*head_)))) {
    // The stream was truncated within an event or before the first one.
    OnFailure(Failure::kDamaged);
    return;
  }
  if (!reported_) {
    ReportAnswer(true);
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
    exchange_->events_.Raise(dispatch::AttemptFailed{
        exchange_->call_, attempt_, ToAttemptFailure(failure)});
  }
}

}  // namespace godwit::edge
