#include <algorithm>
#include <utility>

#include "call_flow.h"
#include "context.h"

namespace godwit::router {
namespace {

using base::Error;
using base::ErrorKind;

constexpr base::Millis kAskAgain = base::Seconds(1);
// Credit of a call whose answer is collected whole before it is sent.
constexpr int64_t kUnlimitedCredit = int64_t{1} << 40U;

}  // namespace

void CallFlow::OnHead(Call& call, const link::RunHead& frame) {
  if (!call.assembler || call.ended) {
    return;
  }
  OnAccepted(call);
  const stream::AssemblerStep step = call.assembler->OnHead(frame);
  if (step.head && !call.head_sent) {
    call.status = static_cast<int>(step.head->status);
    call.content_type = step.head->content_type;
  }
}

void CallFlow::OnData(Call& call, const link::RunData& frame) {
  if (!call.assembler || call.ended) {
    return;
  }
  OnAccepted(call);
  stream::AssemblerStep step = call.assembler->OnData(frame);
  if (step.attach) {
    Attach(call);
  }
  Relay(call, std::move(step.bytes));
}

void CallFlow::Relay(Call& call, std::string bytes) {
  if (bytes.empty()) {
    return;
  }
  if (call.first_byte == base::Millis()) {
    call.first_byte = context_.now - call.arrived;
    if (call.counted) {
      context_.picker.OnFirstToken(context_.now, call.attempt);
    }
  } else {
    call.gaps.Add(context_.now - call.last_piece);
  }
  call.last_piece = context_.now;
  call.answer += bytes;
  if (!call.request.stream || !call.open) {
    return;
  }
  if (!call.head_sent) {
    call.head_sent = true;
    context_.Emit(
        AnswerHead{call.request.exchange, call.status, call.content_type});
  }
  context_.Emit(AnswerBytes{call.request.exchange, std::move(bytes)});
}

void CallFlow::OnEnd(Call& call, const link::RunEnd& frame) {
  if (!call.assembler || call.ended) {
    return;
  }
  const stream::AssemblerStep step = call.assembler->OnEnd(frame);
  if (step.complete || (!call.open && !step.dropped)) {
    call.ended = true;
    call.billed = frame.billed;
    Confirm(call);
    return;
  }
  if (step.corrupt) {
    call.ended = true;
    call.billed = frame.billed;
    FailUnknown(call,
                Error(ErrorKind::kCorrupt, "the answer did not arrive whole",
                      "send the request again with the same "
                      "Idempotency-Key"),
                kAskAgain);
    Confirm(call);
    return;
  }
  if (step.attach) {
    Attach(call);
  }
}

void CallFlow::OnFailed(Call& call, const link::RunFailed& frame) {
  const bool awaited = call.phase == CallPhase::kStarting ||
                       call.phase == CallPhase::kRunning ||
                       call.phase == CallPhase::kProbing;
  if (!awaited) {
    return;
  }
  StopCounting(call, frame.kind != ErrorKind::kCancelled);
  if (call.own && frame.billed > 0) {
    Settle(call, frame.billed);
    FailUnknown(call, Error(frame.kind, frame.message, frame.remedy),
                base::Millis());
    Forget(call);
    return;
  }
  OnAttemptLost(call);
}

int64_t CallFlow::CreditFor(const Call& call) const noexcept {
  return call.request.stream ? context_.options.stream_window_bytes
                             : kUnlimitedCredit;
}

void CallFlow::Confirm(Call& call) {
  call.ended = true;
  if (call.keyed) {
    call.replaces = base::AttemptId();
    Register(call, true);
    return;
  }
  Deliver(call);
}

void CallFlow::ConfirmForeign(const base::Incarnation& agent,
                              const link::RunEnd& end) {
  const auto calls = CallsOf(end.attempt);
  const bool asked =
      verdicts_.count(end.attempt) != 0 ||
      std::any_of(calls.begin(), calls.end(), [this](ExchangeId exchange) {
        const Call* call = Find(exchange);
        return call != nullptr && call->recovers;
      });
  if (asked) {
    return;
  }
  const ExchangeId exchange = next_recovery_--;
  Call& call = calls_[exchange];
  call.request.exchange = exchange;
  call.recovers = true;
  call.own = false;
  call.open = false;
  call.keyed = true;
  call.key = end.key;
  call.billed = end.billed;
  call.agent_incarnation = agent;
  const auto view = context_.membership.Find(context_.now, agent);
  call.agent = view ? view->process : base::ProcessId();
  Bind(call, end.attempt);
  Confirm(call);
}

std::optional<bool> CallFlow::VerdictOf(const base::AttemptId& attempt) const {
  const auto position = verdicts_.find(attempt);
  return position == verdicts_.end() ? std::nullopt
                                     : std::make_optional(position->second);
}

void CallFlow::ForgetVerdict(const base::AttemptId& attempt) {
  verdicts_.erase(attempt);
}

void CallFlow::Deliver(Call& call) {
  if (call.recovers) {
    verdicts_[call.attempt] = true;
  }
  if (call.own) {
    Settle(call, call.billed);
  }
  if (call.open) {
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
  Forget(call);
}

// Another attempt took the key's place: this answer is not billed, and must
// not be presented as whole.
void CallFlow::OnConsentLost(Call& call) {
  if (call.recovers) {
    verdicts_[call.attempt] = false;
  }
  FailUnknown(call,
              Error(ErrorKind::kConflict,
                    "another run of the request took the place of this one",
                    "send it again with the same Idempotency-Key to get the "
                    "answer"),
              kAskAgain);
  DropAttempt(call);
  Forget(call);
}

}  // namespace godwit::router
