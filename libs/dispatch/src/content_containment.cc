#include "dispatch/content_containment.h"

#include <algorithm>
#include <utility>

#include "content_containment_state.h"

namespace godwit::dispatch {
namespace {

// The longest time from one trial to the next.
constexpr base::Millis kMaxTrialPeriod(3'600'000);
// What arrives from a server later than this after it was lost was not sent
// before.
constexpr base::Millis kReceiveDelay(250);
// Longest waits for the decision of another router to be confirmed, and for the
// outcome of a suspected request there.
constexpr base::Millis kMaxDecisionTime(100);
constexpr base::Millis kMaxSuspectRunTime(1000);

}  // namespace

ContentContainment::ContentContainment(const FleetMembers& members)
    : state_(std::make_unique<State>(members)) {}

ContentContainment::~ContentContainment() = default;

ContentContainment::Verdict ContentContainment::Judge(
    base::Millis now,
    const std::vector<ContentKey>& contents) {
  std::vector<ContentKey> due;
  for (const ContentKey& key : contents) {
    if (state_->FindContainment(now, key) == nullptr) {
      continue;
    }
    if (!state_->IsTrialDue(now, key, contents)) {
      return Verdict::kContained;
    }
    due.push_back(key);
  }
  for (const ContentKey& key : due) {
    State::Content& content = state_->contents.at(key);
    State::Containment& containment = *content.containment;
    containment.period = std::min(containment.period * 2, kMaxTrialPeriod);
    containment.trial_at = now + containment.period;
    content.updated_at = now;
    state_->RecordChange(ContentStateChanged::State::kTrial, key, content,
                         containment.period, false);
    state_->Broadcast(State::NoticeOf(now, key, containment));
  }
  return due.empty() ? Verdict::kFree : Verdict::kTrial;
}

bool ContentContainment::HasContained(
    base::Millis now,
    const std::vector<ContentKey>& contents) const {
  return std::any_of(contents.begin(), contents.end(),
                     [this, now](const ContentKey& key) {
                       return state_->FindContainment(now, key) != nullptr;
                     });
}

bool ContentContainment::IsUndecided(
    base::Millis now,
    const std::vector<ContentKey>& contents) const {
  return !state_->contents.empty() &&
         std::any_of(contents.begin(), contents.end(),
                     [this, now](const ContentKey& key) {
                       return state_->IsUndecided(now, key);
                     });
}

bool ContentContainment::MustRunAlone(
    const std::vector<ContentKey>& contents) const {
  return !state_->contents.empty() &&
         std::any_of(contents.begin(), contents.end(),
                     [this](const ContentKey& key) {
                       return state_->IsSuspectedRequest(key);
                     });
}

base::Millis ContentContainment::RemainingTime(
    base::Millis now,
    const std::vector<ContentKey>& contents) const {
  base::Millis remaining;
  for (const ContentKey& key : contents) {
    if (const State::Containment* const containment =
            state_->FindContainment(now, key)) {
      remaining = std::max(remaining, containment->trial_at - now);
    }
  }
  return remaining;
}

bool ContentContainment::WereAnswered(
    base::Millis now,
    const std::vector<ContentKey>& contents) const {
  return std::all_of(contents.begin(), contents.end(),
                     [this, now](const ContentKey& key) {
                       return state_->FindContainment(now, key) == nullptr ||
                              state_->answered.LastAnsweredAt(key).has_value();
                     });
}

void ContentContainment::OnSent(const std::vector<ContentKey>& contents) {
  if (state_->contents.empty()) {
    return;
  }
  for (const ContentKey& key : contents) {
    if (state_->IsSuspectedRequest(key)) {
      state_->Broadcast(SuspectRunNotice{key});
    }
  }
}

void ContentContainment::OnLost(base::Millis now,
                                const std::string& backend,
                                base::Millis started_at,
                                const std::vector<ContentKey>& contents,
                                LossKind kind) {
  for (const ContentKey& key : contents) {
    state_->AddLoss(now, key, {backend, started_at, now}, false);
    base::Millis& started =
        state_->untold[backend].try_emplace(key, started_at).first->second;
    started = std::max(started, started_at);
  }
  if (kind == LossKind::kCrash) {
    state_->MarkCrashed(now, backend);
  }
}

void ContentContainment::OnCrashed(base::Millis now,
                                   const std::string& backend) {
  state_->MarkCrashed(now, backend);
}

void ContentContainment::OnRefused(base::Millis now,
                                   const std::string& backend,
                                   base::Millis started_at) {
  const auto found = state_->lost_servers.find(backend);
  if (found != state_->lost_servers.end() &&
      started_at >= found->second.lost_at) {
    state_->MarkCrashed(now, backend);
  }
}

void ContentContainment::OnAnswered(base::Millis now,
                                    const std::vector<ContentKey>& contents) {
  for (const ContentKey& key : contents) {
    state_->answered.Record(now, key);
    if (state_->Clear(now, key, now)) {
      state_->BroadcastClearance(now, key, now);
    }
  }
}

void ContentContainment::OnReceived(
    base::Millis now,
    const std::string& backend,
    const std::optional<base::Millis>& started_at) {
  const auto found = state_->lost_servers.find(backend);
  if (found == state_->lost_servers.end()) {
    return;
  }
  const base::Millis lost_at = found->second.lost_at;
  if (now - lost_at > kReceiveDelay || (started_at && *started_at > lost_at)) {
    state_->Retract(now, backend);
    state_->Broadcast(LossRetraction{backend});
  }
}

bool ContentContainment::has_losses() const noexcept {
  return !state_->lost_servers.empty();
}

void ContentContainment::On(base::Millis now, const LossNotice& notice) {
  const base::Millis lost_at = now - notice.age;
  for (const LossSuspect& suspect : notice.suspects) {
    state_->AddLoss(now, suspect.content,
                    {notice.backend, lost_at - suspect.ran_for, lost_at}, true);
  }
  if (!notice.is_unconfirmed) {
    state_->MarkCrashed(now, notice.backend);
    // The other routers have been told.
    state_->untold_crashes.erase(notice.backend);
  }
}

void ContentContainment::On(base::Millis now,
                            const LossRetraction& retraction) {
  state_->Retract(now, retraction.backend);
}

void ContentContainment::On(base::Millis now,
                            const base::Endpoint& from,
                            const ContainmentNotice& notice) {
  const base::Millis first_lost_at = now - notice.first_age;
  const auto answered_at = state_->answered.LastAnsweredAt(notice.content);
  if (answered_at && (*answered_at >= first_lost_at ||
                      notice.losses < State::kLossesIfAnswered)) {
    state_->messages.push_back(
        {from, ClearanceNotice{notice.content, now - *answered_at, false}});
    return;
  }
  State::Content& content = state_->contents[notice.content];
  if (!notice.is_confirmed) {
    content.held_until = now + kMaxDecisionTime;
    content.updated_at = now;
    return;
  }
  if (content.containment && content.containment->period >= notice.period) {
    return;
  }
  const bool has_begun = content.containment && content.containment->has_begun;
  state_->Contain(now, notice.content, content,
                  {now, has_begun, now + notice.remaining, notice.period,
                   first_lost_at, now - notice.last_age, notice.losses, true});
}

void ContentContainment::On(base::Millis now, const ClearanceNotice& notice) {
  const base::Millis answered_at = now - notice.age;
  state_->answered.Record(answered_at, notice.content);
  const auto known = state_->contents.find(notice.content);
  const bool decided_here = known != state_->contents.end() &&
                            known->second.containment &&
                            !known->second.containment->by_notice;
  if (state_->Clear(now, notice.content, answered_at) && decided_here &&
      !notice.is_broadcast) {
    state_->BroadcastClearance(now, notice.content, answered_at);
  }
}

void ContentContainment::On(base::Millis now, const SuspectRunNotice& notice) {
  const auto found = state_->contents.find(notice.content);
  if (found != state_->contents.end() &&
      state_->IsSuspectedRequest(notice.content)) {
    found->second.held_until = now + kMaxSuspectRunTime;
  }
}

void ContentContainment::Tick(base::Millis now) {
  state_->Decide(now);
  state_->BeginContainments(now);
  for (const auto& [key, answered_at] : std::exchange(state_->cleared, {})) {
    state_->Broadcast(ClearanceNotice{key, now - answered_at, true});
  }
  state_->FlushLosses(now);
  state_->QueueGossip(now);
  if (!state_->contents.empty() || !state_->lost_servers.empty()) {
    state_->Expire(now);
  }
}

std::vector<ContentContainment::Message> ContentContainment::TakeMessages() {
  return std::exchange(state_->messages, {});
}

std::vector<ContentStateChanged> ContentContainment::TakeChanges() {
  return std::exchange(state_->changes, {});
}

std::vector<ContentKey> ContentContainment::TakeContained() {
  return std::exchange(state_->newly_contained, {});
}

}  // namespace godwit::dispatch
