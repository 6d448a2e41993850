// Calls whose content crashes servers.
#include <algorithm>
#include <string>

#include "dispatcher_state.h"

namespace godwit::dispatch {
namespace {

// Bounds what a caller can add to the evidence with one request.
constexpr size_t kMaxParts = 128;
constexpr base::Millis kMinContainedRetryAfter(1000);
constexpr int64_t kMillisPerSecond = 1000;

std::vector<ContentKey> ContentsOf(const Call& call) {
  std::vector<ContentKey> contents;
  if (call.request.prompt) {
    for (const uint64_t part : call.request.prompt->SharedParts()) {
      contents.push_back(
          {call.service, ContentKey::Kind::kPromptPart, base::Digest(0, part)});
    }
  }
  if (contents.size() > kMaxParts) {
    contents.resize(kMaxParts);
  }
  if (call.request.content != base::Digest()) {
    contents.push_back({call.service, ContentKey::Kind::kRequest,
                        base::Digest::Of(call.request.content.ToHex() + "/" +
                                         call.organisation.value())});
  }
  std::sort(contents.begin(), contents.end());
  contents.erase(std::unique(contents.begin(), contents.end()), contents.end());
  return contents;
}

}  // namespace

bool Dispatcher::State::AdmitContent(Call& call) {
  call.contents = ContentsOf(call);
  switch (containment_.Judge(now_, call.contents)) {
    case ContentContainment::Verdict::kFree:
      return true;
    case ContentContainment::Verdict::kTrial:
      call.is_trial = true;
      return true;
    case ContentContainment::Verdict::kContained:
      break;
  }
  RefuseContained(call);
  return false;
}

bool Dispatcher::State::MustWaitForDecision(const Call& call) const {
  if (containment_.IsUndecided(now_, call.contents)) {
    return true;
  }
  if (!containment_.MustRunAlone(call.contents)) {
    return false;
  }
  return std::any_of(calls_.begin(), calls_.end(), [&call](const auto& entry) {
    const Call& other = *entry.second;
    return other.id != call.id && other.attempt != 0 &&
           !other.attempt_succeeded && other.contents == call.contents;
  });
}

void Dispatcher::State::RefuseContained(Call& call) {
  const base::Millis remaining = std::max(
      kMinContainedRetryAfter, containment_.RemainingTime(now_, call.contents));
  Refuse(call, base::ErrorKind::kContained,
         "backend servers crashed one after the other on requests with the "
         "same content; it is tried again in " +
             std::to_string(remaining.count() / kMillisPerSecond) + " s",
         remaining);
}

void Dispatcher::State::EndContainedCalls() {
  const std::vector<ContentKey> contained = containment_.TakeContained();
  if (contained.empty()) {
    return;
  }
  std::vector<CallId> affected;
  for (const auto& [id, call] : calls_) {
    const auto& contents = call->contents;
    if (!call->is_trial && std::any_of(contained.begin(), contained.end(),
                                       [&contents](const ContentKey& key) {
                                         return std::binary_search(
                                             contents.begin(), contents.end(),
                                             key);
                                       })) {
      affected.push_back(id);
    }
  }
  std::sort(affected.begin(), affected.end());
  for (const CallId id : affected) {
    Call& call = *calls_.at(id);
    if (call.phase == Call::Phase::kRelaying) {
      continue;
    }
    if (call.phase == Call::Phase::kAttempting) {
      // An answer to one that was answered before would clear the content.
      if (containment_.WereAnswered(now_, call.contents)) {
        continue;
      }
      Cancel(call, Placement::Outcome::kCancelled);
      call.may_have_run = true;
    }
    if (call.may_have_run) {
      Refuse(call, base::ErrorKind::kOutcomeUnknown,
             "given up, since requests with the same content crash servers",
             base::Millis());
    } else {
      RefuseContained(call);
    }
  }
}

void Dispatcher::State::NoteReceived(const Call& call) {
  if (containment_.has_losses()) {
    containment_.OnReceived(now_, call.backend.key(), call.attempt_started_at);
  }
}

void Dispatcher::State::NoteLost(const Call& call) {
  const std::string backend = call.backend.key();
  if (!call.attempt_succeeded) {
    containment_.OnLost(now_, backend, call.attempt_started_at, call.contents,
                        ContentContainment::LossKind::kConnection);
  }
  if (connection_losses_.OnLost(now_, backend,
                                placement_.in_flight(call.backend))) {
    containment_.OnCrashed(now_, backend);
  }
}

void Dispatcher::State::NoteRegistered(const Backend& backend) {
  if (!containment_.has_losses()) {
    return;
  }
  for (const Backend* known : directory_.RegisteredBackends()) {
    const bool is_replaced = known->instance == backend.instance
                                 ? known->started_at_ms < backend.started_at_ms
                                 : known->address == backend.address;
    if (is_replaced) {
      containment_.OnCrashed(now_, known->key());
    }
  }
}

void Dispatcher::State::NoteSuccess(Call& call) {
  if (!call.attempt_succeeded) {
    call.attempt_succeeded = true;
    containment_.OnAnswered(now_, call.contents);
  }
}

void Dispatcher::State::EmitContentChanges() {
  EndContainedCalls();
  for (ContentContainment::Message& message : containment_.TakeMessages()) {
    if (message.to) {
      Emit(SendToRouter{*message.to, std::move(message.message)});
    } else {
      Broadcast(message.message);
    }
  }
  for (ContentStateChanged& change : containment_.TakeChanges()) {
    Emit(std::move(change));
  }
}

void Dispatcher::State::OnMessage(const base::Endpoint& /*from*/,
                                  const LossNotice& notice) {
  containment_.On(now_, notice);
}

void Dispatcher::State::OnMessage(const base::Endpoint& /*from*/,
                                  const LossRetraction& retraction) {
  containment_.On(now_, retraction);
}

void Dispatcher::State::OnMessage(const base::Endpoint& from,
                                  const ContainmentNotice& notice) {
  containment_.On(now_, from, notice);
}

void Dispatcher::State::OnMessage(const base::Endpoint& /*from*/,
                                  const ClearanceNotice& notice) {
  containment_.On(now_, notice);
}

void Dispatcher::State::OnMessage(const base::Endpoint& /*from*/,
                                  const SuspectRunNotice& notice) {
  containment_.On(now_, notice);
}

}  // namespace godwit::dispatch
