#include <algorithm>
#include <utility>

#include "call_lifecycle.h"
#include "context.h"

namespace godwit::router {
namespace {

using base::Error;
using base::ErrorKind;

constexpr base::Millis kRetryAfter = base::Seconds(1);
// Credit of a call whose answer is buffered completely before it is sent:
// effectively unlimited.
constexpr int64_t kBufferedAnswerCredit = int64_t{1} << 40U;

}  // namespace

void CallLifecycle::OnHead(Call& call, const link::RunHead& frame) {
  if (!call.assembler || call.run_ended) {
    return;
  }
  OnAccepted(call);
  const stream::AssemblerStep step = call.assembler->OnHead(frame);
  if (step.head && !call.head_sent) {
    call.status = static_cast<int>(step.head->status);
    call.content_type = step.head->content_type;
  }
}

void CallLifecycle::OnData(Call& call, const link::RunData& frame) {
  if (!call.assembler || call.run_ended) {
    return;
  }
  OnAccepted(call);
  stream::AssemblerStep step = call.assembler->OnData(frame);
  if (step.attach) {
    Attach(call);
  }
  Relay(call, std::move(step.bytes));
}

void CallLifecycle::Relay(Call& call, std::string bytes) {
  if (bytes.empty()) {
    return;
  }
  if (call.first_byte == base::Millis()) {
    call.first_byte = context_.now - call.arrived_at;
    if (call.counted_by_picker) {
      context_.picker.OnFirstToken(context_.now, call.attempt);
    }
  } else {
    call.piece_gaps.Add(context_.now - call.last_piece_at);
  }
  call.last_piece_at = context_.now;
  call.answer += bytes;
  if (!call.request.stream || !call.caller_waits) {
    return;
  }
  if (!call.head_sent) {
    call.head_sent = true;
    context_.Emit(
        AnswerHead{call.request.exchange, call.status, call.content_type});
  }
  context_.Emit(AnswerBytes{call.request.exchange, std::move(bytes)});
}

void CallLifecycle::OnEnd(Call& call, const link::RunEnd& frame) {
  if (!call.assembler || call.run_ended) {
    return;
  }
  const stream::AssemblerStep step = call.assembler->OnEnd(frame);
  if (step.complete || (!call.caller_waits && !step.dropped)) {
    call.run_ended = true;
    call.billed_tokens = frame.billed;
    Confirm(call);
    return;
  }
  if (step.corrupt) {
    call.run_ended = true;
    call.billed_tokens = frame.billed;
    FailOutcomeUnknown(
        call,
        Error(ErrorKind::kCorrupt, "the answer did not arrive whole",
              "send the request again with the same "
              "Idempotency-Key"),
        kRetryAfter);
    Confirm(call);
    return;
  }
  if (step.attach) {
    Attach(call);
  }
}

void CallLifecycle::OnFailed(Call& call, const link::RunFailed& frame) {
  const bool awaited = call.phase == CallPhase::kStarting ||
                       call.phase == CallPhase::kRunning ||
                       call.phase == CallPhase::kProbing;
  if (!awaited) {
    return;
  }
  ReleasePickerCount(call, frame.kind != ErrorKind::kCancelled);
  if (call.owns_attempt && frame.billed > 0) {
    Settle(call, frame.billed);
    FailOutcomeUnknown(call, Error(frame.kind, frame.message, frame.remedy),
                       base::Millis());
    FinishCall(call);
    return;
  }
  OnAttemptLost(call);
}

int64_t CallLifecycle::CreditFor(const Call& call) const noexcept {
  return call.request.stream ? context_.options.stream_window_bytes
                             : kBufferedAnswerCredit;
}

void CallLifecycle::Confirm(Call& call) {
  call.run_ended = true;
  if (call.has_key) {
    call.replaces = base::AttemptId();
    Register(call, true);
    return;
  }
  Deliver(call);
}

void CallLifecycle::ConfirmRecovered(const base::Incarnation& agent,
                                     const link::RunEnd& end) {
  const auto calls = CallsForAttempt(end.attempt);
  const bool already_queried =
      billing_decisions_.count(end.attempt) != 0 ||
      std::any_of(calls.begin(), calls.end(), [this](ExchangeId exchange) {
        const Call* call = Find(exchange);
        return call != nullptr && call->is_recovery;
      });
  if (already_queried) {
    return;
  }
  const ExchangeId exchange = next_recovery_exchange_--;
  Call& call = calls_[exchange];
  call.request.exchange = exchange;
  call.is_recovery = true;
  call.owns_attempt = false;
  call.caller_waits = false;
  call.has_key = true;
  call.key = end.key;
  call.billed_tokens = end.billed;
  call.agent_incarnation = agent;
  const auto view = context_.membership.Find(context_.now, agent);
  call.agent = view ? view->process : base::ProcessId();
  BindAttempt(call, end.attempt);
  Confirm(call);
}

std::optional<bool> CallLifecycle::BillingDecision(
    const base::AttemptId& attempt) const {
  const auto position = billing_decisions_.find(attempt);
  return position == billing_decisions_.end()
             ? std::nullopt
             : std::make_optional(position->second);
}

void CallLifecycle::ForgetBillingDecision(const base::AttemptId& attempt) {
  billing_decisions_.erase(attempt);
}

void CallLifecycle::Deliver(Call& call) {
  if (call.is_recovery) {
    billing_decisions_[call.attempt] = true;
  }
  if (call.owns_attempt) {
    Settle(call, call.billed_tokens);
  }
  if (call.caller_waits) {
    if (call.request.stream) {
      if (!call.head_sent) {
        context_.Emit(
            AnswerHead{call.request.exchange, call.status, call.content_type});
      }
      context_.Emit(AnswerEnd{call.request.exchange});
    } else {
      context_.Emit(CompleteAnswer{call.request.exchange, call.status,
                                   call.content_type, std::move(call.answer)});
    }
    CloseCaller(call, Outcome::kAnswer, ErrorKind::kNone);
  }
  FinishCall(call);
}

// Another attempt replaced this one in the directory: this answer is not billed
// and must not be delivered as complete.
void CallLifecycle::OnSuperseded(Call& call) {
  if (call.is_recovery) {
    billing_decisions_[call.attempt] = false;
  }
  FailOutcomeUnknown(
      call,
      Error(ErrorKind::kConflict,
            "another run of the request took the place of this one",
            "send it again with the same Idempotency-Key to get the "
            "answer"),
      kRetryAfter);
  ReleaseAttempt(call);
  FinishCall(call);
}

}  // namespace godwit::router
