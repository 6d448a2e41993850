// How evidence decides on contents.
#include <algorithm>
#include <iterator>
#include <map>
#include <optional>
#include <string>

#include "base/digest.h"
#include "content_containment_state.h"
#include "dispatch/fleet_members.h"

namespace godwit::dispatch {
namespace {

// Losses in a row after which a content that was never answered is contained.
// More of a request than of a part: its caller repeats it until it is answered,
// also while all servers are lost one after the other for another reason.
constexpr int64_t kLossesOfPart = 3;
constexpr int64_t kLossesOfRequest = 4;
// Fewer if many servers were lost, some of them together; of a request, if it
// was in progress at several of them at once.
constexpr int64_t kLossesOfManyServers = 2;
constexpr size_t kManyServers = 4;
constexpr size_t kManyServersAtOnce = 3;
// Losses that this router may not have been told of.
constexpr size_t kMissedLosses = 1;
// Time until the first trial of a contained content; it doubles with each.
constexpr base::Millis kFirstTrialPeriod(60'000);
// Routers may begin a trial one after the other, this long apart, so that each
// learns of the trials of those before it.
constexpr base::Millis kTrialSpacing(2000);

}  // namespace

std::map<ContentKey, size_t> ContentContainment::State::CountLostWith(
    const CrashEvidence& evidence) const {
  std::map<ContentKey, size_t> lost_with;
  for (const std::string& backend : evidence.Backends()) {
    const auto server = lost_servers.find(backend);
    if (server == lost_servers.end()) {
      continue;
    }
    for (const ContentKey& other : server->second.contents) {
      ++lost_with[other];
    }
  }
  return lost_with;
}

bool ContentContainment::State::IsExplained(
    const ContentKey& key,
    const CrashEvidence& evidence) const {
  if (key.kind != ContentKey::Kind::kRequest) {
    return false;
  }
  const std::map<ContentKey, size_t> lost_with = CountLostWith(evidence);
  const size_t servers = evidence.Backends().size();
  return std::any_of(
      lost_with.begin(), lost_with.end(), [&](const auto& entry) {
        const auto& [other, count] = entry;
        const auto found = contents.find(other);
        if (other == key || count + kMissedLosses < servers ||
            found == contents.end() || answered.LastAnsweredAt(other)) {
          return false;
        }
        const size_t others = found->second.evidence.Backends().size();
        return other.kind == ContentKey::Kind::kPromptPart ? others >= servers
                                                           : others > servers;
      });
}

bool ContentContainment::State::IsAmbiguous(
    const ContentKey& key,
    const Content& content,
    const std::vector<ContentKey>& request) const {
  const std::map<ContentKey, size_t> lost_with =
      CountLostWith(content.evidence);
  const size_t servers = content.evidence.Backends().size();
  return std::any_of(
      lost_with.begin(), lost_with.end(), [&](const auto& entry) {
        const auto& [other, count] = entry;
        const auto found = contents.find(other);
        return other != key && count + kMissedLosses >= servers &&
               found != contents.end() && found->second.containment &&
               !answered.LastAnsweredAt(other) &&
               !std::binary_search(request.begin(), request.end(), other);
      });
}

bool ContentContainment::State::IsTrialDue(
    base::Millis now,
    const ContentKey& key,
    const std::vector<ContentKey>& request) const {
  const Content& content = contents.at(key);
  const Containment& containment = *content.containment;
  if (now < containment.trial_at && (containment.period > kFirstTrialPeriod ||
                                     !IsAmbiguous(key, content, request))) {
    return false;
  }
  const base::Millis first =
      now < containment.trial_at ? containment.begins_at : containment.trial_at;
  return now >= first + kTrialSpacing * RankFor(key);
}

bool ContentContainment::State::IsUndecided(base::Millis now,
                                            const ContentKey& key) const {
  const auto found = contents.find(key);
  if (found == contents.end()) {
    return false;
  }
  const auto& containment = found->second.containment;
  if (containment) {
    return !containment->has_begun;
  }
  if (now < found->second.held_until) {
    return true;
  }
  const auto entry = undecided.find(key);
  return entry != undecided.end() &&
         (entry->second.holds_requests ||
          (!entry->second.is_postponed && IsSuspectedRequest(key)));
}

bool ContentContainment::State::IsSuspectedRequest(
    const ContentKey& key) const {
  const auto found = contents.find(key);
  return key.kind == ContentKey::Kind::kRequest && found != contents.end() &&
         found->second.evidence.count() >= kSuspiciousLosses &&
         !answered.LastAnsweredAt(key);
}

int64_t ContentContainment::State::RequiredLosses(
    const ContentKey& key,
    const CrashEvidence& evidence) const {
  if (answered.LastAnsweredAt(key)) {
    return kLossesIfAnswered;
  }
  const size_t servers = evidence.Backends().size();
  if (key.kind == ContentKey::Kind::kPromptPart) {
    return servers >= kManyServers ? kLossesOfManyServers : kLossesOfPart;
  }
  // A caller repeats its request one at a time.
  const bool runs_at_once = static_cast<int64_t>(servers) > evidence.count();
  return servers >= kManyServersAtOnce && runs_at_once ? kLossesOfManyServers
                                                       : kLossesOfRequest;
}

void ContentContainment::State::Decide(base::Millis now) {
  for (auto entry = undecided.begin(); entry != undecided.end();) {
    auto& [key, decision] = *entry;
    const auto found = contents.find(key);
    if (found == contents.end() || found->second.containment) {
      entry = undecided.erase(entry);
      continue;
    }
    Content& content = found->second;
    if (decision.has_news) {
      decision.has_news = false;
      decision.holds_requests = Suffices(key, content, content.evidence);
    }
    const bool is_over =
        now >= decision.due_at && Decide(now, key, content, decision);
    entry = is_over ? undecided.erase(entry) : std::next(entry);
  }
}

bool ContentContainment::State::IsSettled(
    base::Millis now,
    const CrashEvidence::Loss& loss) const {
  const auto server = lost_servers.find(loss.backend);
  return server == lost_servers.end() || server->second.has_crashed ||
         now - loss.lost_at >= kSettleTime;
}

bool ContentContainment::State::Suffices(const ContentKey& key,
                                         const Content& content,
                                         const CrashEvidence& evidence) const {
  return evidence.count() >= RequiredLosses(key, evidence) &&
         !IsExplained(key, content.evidence);
}

bool ContentContainment::State::Decide(base::Millis now,
                                       const ContentKey& key,
                                       Content& content,
                                       Decision& decision) {
  CrashEvidence settled;
  std::optional<base::Millis> next_settled_at;
  for (const CrashEvidence::Loss& loss : content.evidence.losses()) {
    if (IsSettled(now, loss)) {
      settled.Add(loss);
    } else {
      const base::Millis settled_at = loss.lost_at + kSettleTime;
      next_settled_at =
          std::min(next_settled_at.value_or(settled_at), settled_at);
    }
  }
  if (Suffices(key, content, settled)) {
    Contain(now, key, content,
            {now + kObjectionTime, false, now + kFirstTrialPeriod,
             kFirstTrialPeriod, settled.first_lost_at(), settled.last_lost_at(),
             settled.count(), false});
    Broadcast(NoticeOf(now, key, *content.containment));
    return true;
  }
  if (next_settled_at) {
    decision.due_at = *next_settled_at + decision.delay;
    decision.is_postponed = true;
    return false;
  }
  if (settled.count() >= kSuspiciousLosses) {
    RecordChange(ContentStateChanged::State::kSuspected, key, content,
                 base::Millis(), false);
  }
  return true;
}

int64_t ContentContainment::State::RankFor(const ContentKey& key) const {
  const std::string prefix = key.id.ToHex() + "/";
  const auto weight_of = [&prefix](const base::ProcessId& process) {
    return base::Digest::Of(prefix + process.value()).low();
  };
  const uint64_t own = weight_of(members.self());
  int64_t rank = 0;
  for (const auto& [process, address] : members.members()) {
    rank += weight_of(process) > own ? 1 : 0;
  }
  return rank;
}

}  // namespace godwit::dispatch
