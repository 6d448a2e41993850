// Streams that callers take up again: which software version began them.
#include <algorithm>

#include "dispatcher_state.h"

namespace godwit::dispatch {
namespace {

using Certainty = StreamOrigin::Certainty;

// Time without a reply after which routers are asked again, and how often they
// are asked.
constexpr base::Millis kOriginReplyTimeout(100);
constexpr int64_t kMaxOriginQueries = 2;

bool ResumesStream(const Call& call) {
  return call.route->is_stream &&
         call.route->repeat == RepeatRule::kResumable &&
         (call.request.resume_after.value_or(0) > 0 ||
          !call.request.resumes.empty());
}

const std::string& OriginId(const Call& call) {
  return call.request.resumes.empty() ? call.request.id : call.request.resumes;
}

}  // namespace

bool Dispatcher::State::ResolveOrigin(Call& call) {
  if (!ResumesStream(call)) {
    return true;
  }
  const StreamOrigin origin =
      origins_.Find(now_, call.service, call.request.resumes);
  if (origin.certainty >= Certainty::kOnlyOneServed) {
    call.software_version = origin.software_version;
    return true;
  }
  call.phase = Call::Phase::kAwaitingOrigin;
  awaiting_origin_.insert(call.id);
  if (!call.request.resumes.empty()) {
    call.origin_pending = origins_.KeepersOf(call.request.resumes);
  }
  AskForOrigin(call);
  return false;
}

void Dispatcher::State::AskForOrigin(Call& call) {
  if (call.origin_pending.empty()) {
    ConcludeOrigin(call);
    return;
  }
  ++call.origin_queries;
  call.origin_asked_at = now_;
  for (const base::Endpoint& router : call.origin_pending) {
    Emit(SendToRouter{router,
                      StreamOriginQuery{call.request.resumes, call.service}});
  }
}

void Dispatcher::State::BindToVersion(Call& call,
                                      const std::string& software_version) {
  awaiting_origin_.erase(call.id);
  call.software_version = software_version;
  call.phase = Call::Phase::kAwaitingBudget;
  TryBudget(call);
}

void Dispatcher::State::ConcludeOrigin(Call& call) {
  const StreamOrigin own =
      origins_.Find(now_, call.service, call.request.resumes);
  if (own.certainty >= Certainty::kOnlyOneSeen && !call.is_origin_ambiguous) {
    BindToVersion(call, own.software_version);
    return;
  }
  Refuse(call, base::ErrorKind::kUnavailable,
         "it is not known which software version began the stream",
         base::Millis());
}

void Dispatcher::State::CheckOrigin(Call& call) {
  if (now_ - call.origin_asked_at < kOriginReplyTimeout) {
    return;
  }
  if (call.origin_queries < kMaxOriginQueries) {
    AskForOrigin(call);
  } else {
    ConcludeOrigin(call);
  }
}

void Dispatcher::State::OnMessage(const base::Endpoint& /*from*/,
                                  const StreamOriginNotice& notice) {
  origins_.Record(now_, notice.request_id, notice.software_version);
}

void Dispatcher::State::OnMessage(const base::Endpoint& from,
                                  const StreamOriginQuery& query) {
  Emit(SendToRouter{from, StreamOriginReply{query.request_id,
                                            origins_.Find(now_, query.service,
                                                          query.request_id)}});
}

void Dispatcher::State::OnMessage(const base::Endpoint& from,
                                  const StreamOriginReply& reply) {
  const std::set<CallId> awaiting = awaiting_origin_;
  for (const CallId id : awaiting) {
    const auto found = calls_.find(id);
    if (found == calls_.end() ||
        found->second->request.resumes != reply.request_id) {
      continue;
    }
    Call& call = *found->second;
    if (reply.origin.certainty == Certainty::kRecorded) {
      BindToVersion(call, reply.origin.software_version);
      continue;
    }
    const StreamOrigin own =
        origins_.Find(now_, call.service, reply.request_id);
    const bool has_seen_others =
        reply.origin.certainty != Certainty::kUnknown &&
        reply.origin.software_version != own.software_version;
    call.is_origin_ambiguous = call.is_origin_ambiguous || has_seen_others;
    auto& pending = call.origin_pending;
    pending.erase(std::remove(pending.begin(), pending.end(), from),
                  pending.end());
    if (pending.empty()) {
      ConcludeOrigin(call);
    }
  }
}

void Dispatcher::State::RecordOrigin(const Call& call) {
  if (call.route->repeat != RepeatRule::kResumable) {
    return;
  }
  origins_.Record(now_, OriginId(call), *call.software_version);
  if (origins_.HasSeveralVersions(now_, call.service)) {
    SendOrigin(call);
  }
}

void Dispatcher::State::SendOrigin(const Call& call) {
  for (const base::Endpoint& keeper : origins_.KeepersOf(OriginId(call))) {
    Emit(SendToRouter{
        keeper, StreamOriginNotice{OriginId(call), *call.software_version}});
  }
}

void Dispatcher::State::NoteVersion(const Backend& backend) {
  if (!origins_.OnRegistered(now_, backend)) {
    return;
  }
  // What began while there was one version is known to this router only.
  for (const auto& [id, call] : calls_) {
    if (call->service == backend.service && call->software_version &&
        call->phase == Call::Phase::kRelaying &&
        call->route->repeat == RepeatRule::kResumable) {
      SendOrigin(*call);
    }
  }
}

void Dispatcher::State::NoteVersions() {
  versions_noted_at_ = now_;
  for (const Backend* backend : directory_.RegisteredBackends()) {
    NoteVersion(*backend);
  }
}

}  // namespace godwit::dispatch
