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
// How long a call waits for the store to confirm what this router knows.
constexpr base::Millis kConfirmationTimeout(700);
// How long a router that has just started waits for the list of routers.
constexpr base::Millis kListTimeout(1000);

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
  const StreamOrigin origin = origins_.Find(now_, call.service, OriginId(call));
  // Another router may have seen a server of a new version first.
  if (origin.certainty == Certainty::kRecorded) {
    call.software_version = origin.software_version;
    return true;
  }
  call.phase = Call::Phase::kAwaitingOrigin;
  awaiting_origin_.insert(call.id);
  AskForOrigin(call);
  return false;
}

void Dispatcher::State::AskForOrigin(Call& call) {
  call.origin_asked_at = now_;
  if (members_.members().empty() && now_ - call.arrived_at < kListTimeout) {
    return;
  }
  if (call.origin_queries == 0) {
    call.origin_pending = origins_.PossibleKeepersOf(OriginId(call));
  }
  if (call.origin_pending.empty()) {
    ConcludeOrigin(call);
    return;
  }
  ++call.origin_queries;
  for (const base::Endpoint& router : call.origin_pending) {
    Emit(SendToRouter{router, StreamOriginQuery{OriginId(call), call.service}});
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
  const StreamOrigin own = origins_.Find(now_, call.service, OriginId(call));
  const bool have_all_replied = call.origin_pending.empty();
  const bool is_confirmed =
      call.is_origin_confirmed ||
      (call.origin_queries > 0 && have_all_replied && !call.has_vague_reply);
  // Without other routers, there is none that can have seen another version.
  const Certainty sufficient = is_confirmed ? Certainty::kOnlyOneSeen
                               : call.origin_queries == 0
                                   ? Certainty::kOnlyOneUnconfirmed
                                   : Certainty::kOnlyOneServed;
  const bool is_certain =
      own.certainty >= sufficient && !call.is_origin_ambiguous;
  // A router that other routers don't reach may not hear of servers either, and
  // not know it yet.
  const bool needs_store = call.origin_queries > 0 && !is_confirmed;
  if (is_certain && needs_store && versions_.read_at() < call.arrived_at &&
      now_ - call.arrived_at < kConfirmationTimeout) {
    versions_.RequestRead(call.arrived_at);
    ProcessVersions();
    return;
  }
  if (is_certain && (!needs_store || versions_.read_at() >= call.arrived_at)) {
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
    if (found == calls_.end() || OriginId(*found->second) != reply.request_id) {
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
    call.is_origin_confirmed =
        call.is_origin_confirmed ||
        reply.origin.certainty >= Certainty::kOnlyOneServed;
    call.has_vague_reply =
        call.has_vague_reply ||
        reply.origin.certainty < Certainty::kOnlyOneUnconfirmed;
    auto& pending = call.origin_pending;
    pending.erase(std::remove(pending.begin(), pending.end(), from),
                  pending.end());
    const bool is_settled = own.certainty >= Certainty::kOnlyOneServed &&
                            call.is_origin_confirmed &&
                            !call.is_origin_ambiguous;
    if (pending.empty() || is_settled) {
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

void Dispatcher::State::ProcessVersions() {
  if (!directory_.loaded()) {
    return;
  }
  if (auto operation = versions_.Next(now_, origins_.Known(now_))) {
    std::visit([this](auto& command) { Emit(std::move(command)); }, *operation);
  }
}

template <typename Done>
bool Dispatcher::State::FinishVersions(const Done& done) {
  const VersionRegister::Result result = versions_.Finish(now_, done);
  if (result == VersionRegister::Result::kRead ||
      result == VersionRegister::Result::kWritten) {
    origins_.OnStored(now_, versions_.stored().services,
                      versions_.is_complete());
  }
  if (result == VersionRegister::Result::kWritten) {
    Broadcast(VersionsNotice{versions_.stored()});
  }
  return result != VersionRegister::Result::kUnrelated;
}

template bool Dispatcher::State::FinishVersions(const platform::KvReadDone&);
template bool Dispatcher::State::FinishVersions(const platform::KvWriteDone&);

void Dispatcher::State::OnMessage(const base::Endpoint& /*from*/,
                                  const VersionsNotice& notice) {
  versions_.OnNotice(notice.stored);
  origins_.OnStored(now_, notice.stored.services, versions_.is_complete());
}

void Dispatcher::State::NoteVersions() {
  versions_noted_at_ = now_;
  for (const Backend* backend : directory_.RegisteredBackends()) {
    NoteVersion(*backend);
  }
}

}  // namespace godwit::dispatch
