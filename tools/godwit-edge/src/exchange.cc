#include "exchange.h"

#include <cstdio>
#include <utility>

#include "adapter/messages.h"
#include "attempt_relay.h"
#include "base/error.h"
#include "http/error_response.h"
#include "http/status_of.h"
#include "relay/caller_session.h"
#include "relay/outgoing_request.h"
#include "relay/upstream_pool.h"

namespace godwit::edge {
namespace {

constexpr double kMillisPerSecond = 1000;

// True for refusals that guarantee that the request has not run.
bool IsNotRun(base::ErrorKind kind) {
  return kind != base::ErrorKind::kOutcomeUnknown &&
         kind != base::ErrorKind::kDeadlineExceeded;
}

}  // namespace

Exchange::Exchange(dispatch::CallId call,
                   std::string request_id,
                   std::shared_ptr<relay::CallerSession> session,
                   relay::ReceivedRequest request,
                   relay::UpstreamPool& servers,
                   Events& events)
    : call_(call),
      request_id_(std::move(request_id)),
      session_(std::move(session)),
      request_(std::move(request)),
      servers_(servers),
      events_(events) {}

Exchange::~Exchange() {
  DropAttempt();
}

void Exchange::DropAttempt() {
  if (attempt_ != nullptr) {
    attempt_->Detach();
    servers_.Cancel(attempt_->upstream);
    attempt_.reset();
  }
}

void Exchange::Start(const dispatch::StartAttempt& attempt) {
  DropAttempt();
  is_paused_ = false;
  if (attempt.is_resumable && position_.events == 0) {
    position_.last_id = attempt.resume_after;
  }
  attempt_ = std::make_shared<AttemptRelay>(*this, attempt);
  relay::OutgoingRequest request;
  request.id = request_id_;
  request.head =
      adapter::EncodeRequest(request_.head, attempt, request_.body->size());
  request.body = request_.body;
  request.is_head = request_.head.method == "HEAD";
  attempt_->upstream =
      servers_.Send(attempt.backend.address, std::move(request), *attempt_);
}

void Exchange::Cancel(int64_t attempt) {
  if (attempt_ != nullptr && attempt_->attempt() == attempt) {
    DropAttempt();
  }
}

void Exchange::Relay(const dispatch::RelayAnswer& command) {
  if (attempt_ != nullptr && attempt_->attempt() == command.attempt) {
    attempt_->Relay(command.may_have_run_before);
  }
}

void Exchange::ForwardToCaller(std::string_view bytes) {
  session_->Write(bytes);
  if (session_->queued_bytes() > session_->buffer_share() && !is_paused_) {
    servers_.PauseReading(attempt_->upstream);
    SetPaused(true);
  }
}

void Exchange::Resume() {
  if (attempt_ != nullptr && is_paused_) {
    servers_.ResumeReading(attempt_->upstream);
    SetPaused(false);
  }
}

void Exchange::SetPaused(bool is_paused) {
  is_paused_ = is_paused;
  events_.Raise(dispatch::AttemptPaused{call_, attempt_->attempt(), is_paused});
}

void Exchange::Refuse(const dispatch::RefuseCall& refusal) {
  const http::Response page = http::ErrorResponse(
      http::StatusOf(refusal.kind),
      base::Error(refusal.kind, refusal.reason, "see docs/OPERATIONS.md"),
      IsNotRun(refusal.kind));
  std::string lines = "Content-Type: application/json\r\n";
  if (refusal.retry_after > base::Millis()) {
    char seconds[32];
    std::snprintf(
        seconds, sizeof(seconds), "%.2f",
        static_cast<double>(refusal.retry_after.count()) / kMillisPerSecond);
    relay::AppendHeader(lines, "Retry-After", seconds);
  }
  session_->Respond(page.status, lines, page.body);
}

void Exchange::Abort() {
  session_->Abort();
}

}  // namespace godwit::edge
