#include "content_containment_state.h"

#include <algorithm>
#include <iterator>
#include <utility>

#include "base/digest.h"
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
constexpr int64_t kSuspiciousLosses = 2;
// Losses that this router may not have been told of.
constexpr size_t kMissedLosses = 1;
// Time between the decisions of routers that know of a loss by a notice.
constexpr base::Millis kDecisionSpacing(25);
// Time without new losses after which evidence, and a containment whose trial
// is due, are dropped.
constexpr base::Millis kRetention(300'000);
// Bound on the contents with evidence; the oldest are dropped.
constexpr size_t kMaxContents = 8192;
// Time until the first trial of a contained content; it doubles with each.
constexpr base::Millis kFirstTrialPeriod(60'000);
// Routers may begin a trial one after the other, this long apart, so that each
// learns of the trials of those before it.
constexpr base::Millis kTrialSpacing(2000);
// Interval at which one other router is told what is contained.
constexpr base::Millis kGossipInterval(1000);
constexpr size_t kMaxGossipPerInterval = 8;
// Keeps a notice within one datagram.
constexpr size_t kMaxSuspectsPerNotice = 10;

}  // namespace

void ContentContainment::State::RecordChange(ContentStateChanged::State change,
                                             const ContentKey& key,
                                             const Content& content,
                                             base::Millis remaining,
                                             bool by_notice) {
  std::string backends;
  for (const std::string& backend : content.evidence.Backends()) {
    backends += (backends.empty() ? "" : ",") + backend;
  }
  changes.push_back({change, key, content.evidence.count(), std::move(backends),
                     remaining, by_notice});
}

const ContentContainment::State::Containment*
ContentContainment::State::FindContainment(base::Millis now,
                                           const ContentKey& key) const {
  if (contained_count == 0) {
    return nullptr;
  }
  const auto found = contents.find(key);
  return found == contents.end() || !found->second.containment ||
                 now < found->second.containment->begins_at
             ? nullptr
             : &*found->second.containment;
}

void ContentContainment::State::Contain(base::Millis now,
                                        Content& content,
                                        const Containment& containment) {
  if (!content.containment) {
    ++contained_count;
  }
  content.containment = containment;
  content.updated_at = now;
}

void ContentContainment::State::BeginContainments(base::Millis now) {
  if (contained_count == 0) {
    return;
  }
  for (auto& [key, content] : contents) {
    if (!content.containment || content.containment->has_begun ||
        now < content.containment->begins_at) {
      continue;
    }
    Containment& containment = *content.containment;
    containment.has_begun = true;
    newly_contained.push_back(key);
    RecordChange(ContentStateChanged::State::kContained, key, content,
                 containment.trial_at - now, containment.by_notice);
  }
}

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

void ContentContainment::State::AddLoss(base::Millis now,
                                        const ContentKey& key,
                                        const CrashEvidence::Loss& loss,
                                        bool by_notice) {
  const auto answered_at = answered.LastAnsweredAt(key);
  if (answered_at && *answered_at >= loss.lost_at) {
    return;
  }
  lost_servers.try_emplace(loss.backend, LostServer{loss.lost_at, {}})
      .first->second.contents.insert(key);

  Content& content = contents[key];
  content.evidence.Add(loss);
  content.updated_at = now;
  if (content.containment) {
    content.containment->last_lost_at =
        std::max(content.containment->last_lost_at, loss.lost_at);
    return;
  }
  // Of the routers that know of the loss by a notice, the next one decides only
  // if those before it did not.
  const base::Millis due_at =
      by_notice ? now + kDecisionSpacing * RankFor(key) : now;
  const auto [entry, is_new] = undecided.try_emplace(key, due_at);
  entry->second = std::min(entry->second, due_at);
}

bool ContentContainment::State::IsUndecided(const ContentKey& key) const {
  const auto found = contents.find(key);
  if (found == contents.end()) {
    return false;
  }
  const auto& containment = found->second.containment;
  return containment ? !containment->has_begun
                     : undecided.count(key) > 0 && IsSuspectedRequest(key);
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
    const auto& [key, due_at] = *entry;
    if (now < due_at) {
      ++entry;
      continue;
    }
    const auto found = contents.find(key);
    if (found != contents.end()) {
      Decide(now, key, found->second);
    }
    entry = undecided.erase(entry);
  }
}

void ContentContainment::State::Decide(base::Millis now,
                                       const ContentKey& key,
                                       Content& content) {
  if (content.containment) {
    return;
  }
  const int64_t losses = content.evidence.count();
  const int64_t required = RequiredLosses(key, content.evidence);
  if (losses >= required && !IsExplained(key, content.evidence)) {
    Contain(now, content,
            {now + kObjectionTime, false, now + kFirstTrialPeriod,
             kFirstTrialPeriod, content.evidence.first_lost_at(),
             content.evidence.last_lost_at(), losses, false});
    Broadcast(NoticeOf(now, key, *content.containment));
  } else if (losses >= kSuspiciousLosses) {
    RecordChange(ContentStateChanged::State::kSuspected, key, content,
                 base::Millis(), false);
  }
}

bool ContentContainment::State::Clear(base::Millis now,
                                      const ContentKey& key,
                                      base::Millis answered_at) {
  const auto found = contents.find(key);
  if (found == contents.end()) {
    return false;
  }
  Content& content = found->second;
  // After an answer in between, the losses are not in a row; after an earlier
  // one, more of them are needed.
  const bool ends_containment =
      content.containment &&
      (content.containment->first_lost_at <= answered_at ||
       content.containment->losses < kLossesIfAnswered);
  const bool is_suspected = content.evidence.count() >= kSuspiciousLosses;
  if (ends_containment || is_suspected) {
    RecordChange(ContentStateChanged::State::kCleared, key, content,
                 base::Millis(), false);
  }
  content.evidence.RemoveUntil(answered_at);
  content.updated_at = now;
  if (ends_containment) {
    content.containment.reset();
    --contained_count;
  }
  if (content.evidence.empty() && !content.containment) {
    contents.erase(found);
  }

  return ends_containment || is_suspected;
}

void ContentContainment::State::Broadcast(RouterMessage message) {
  messages.push_back({std::nullopt, std::move(message)});
}

ContainmentNotice ContentContainment::State::NoticeOf(
    base::Millis now,
    const ContentKey& key,
    const Containment& containment) {
  return {key,
          now - containment.first_lost_at,
          now - containment.last_lost_at,
          containment.losses,
          std::max(base::Millis(), containment.trial_at - now),
          containment.period};
}

void ContentContainment::State::Retract(base::Millis now,
                                        const std::string& backend) {
  const auto found = lost_servers.find(backend);
  if (found == lost_servers.end()) {
    return;
  }
  const std::set<ContentKey> affected = std::move(found->second.contents);
  lost_servers.erase(found);
  untold.erase(backend);
  for (const ContentKey& key : affected) {
    const auto entry = contents.find(key);
    if (entry == contents.end()) {
      continue;
    }
    CrashEvidence& evidence = entry->second.evidence;
    evidence.Retract(backend);
    const auto& containment = entry->second.containment;
    if (containment && !containment->by_notice &&
        evidence.count() < RequiredLosses(key, evidence)) {
      if (Clear(now, key, now)) {
        Broadcast(ClearanceNotice{key, base::Millis(), true});
      }
    } else if (!containment && evidence.empty()) {
      contents.erase(entry);
    }
  }
}

int64_t ContentContainment::State::RankFor(const ContentKey& key) const {
  const auto weight_of = [&key](const base::ProcessId& process) {
    return base::Digest::Of(key.id.ToHex() + "/" + process.value()).low();
  };
  const uint64_t own = weight_of(members.self());
  int64_t rank = 0;
  for (const auto& [process, address] : members.members()) {
    rank += weight_of(process) > own ? 1 : 0;
  }
  return rank;
}

void ContentContainment::State::FlushLosses(base::Millis now) {
  for (const auto& [backend, started] : untold) {
    const auto server = lost_servers.find(backend);
    if (server == lost_servers.end()) {
      continue;
    }
    const base::Millis lost_at = server->second.lost_at;
    LossNotice notice{backend, now - lost_at, {}};
    for (const auto& [key, started_at] : started) {
      notice.suspects.push_back(
          {key, std::max(base::Millis(), lost_at - started_at)});
      if (notice.suspects.size() == kMaxSuspectsPerNotice) {
        Broadcast(notice);
        notice.suspects.clear();
      }
    }
    if (!notice.suspects.empty()) {
      Broadcast(std::move(notice));
    }
  }
  untold.clear();
}

void ContentContainment::State::QueueGossip(base::Millis now) {
  const auto& all = members.members();
  if (contained_count == 0 || now - gossiped_at < kGossipInterval ||
      all.size() < 2) {
    return;
  }
  gossiped_at = now;
  auto next = all.upper_bound(gossiped_to);
  if (next == all.end()) {
    next = all.begin();
  }
  if (next->first == members.self() && ++next == all.end()) {
    next = all.begin();
  }
  gossiped_to = next->first;
  size_t count = 0;
  for (const auto& [key, content] : contents) {
    if (content.containment && count++ < kMaxGossipPerInterval) {
      messages.push_back(
          {next->second, NoticeOf(now, key, *content.containment)});
    }
  }
}

void ContentContainment::State::Expire(base::Millis now) {
  const bool is_full = contents.size() > kMaxContents;
  std::vector<base::Millis> ages;
  base::Millis oldest_kept = now - kRetention;
  if (is_full) {
    for (const auto& [key, content] : contents) {
      ages.push_back(content.updated_at);
    }
    const auto middle = ages.begin() + static_cast<ptrdiff_t>(ages.size() / 2);
    std::nth_element(ages.begin(), middle, ages.end());
    oldest_kept = std::max(oldest_kept, *middle);
  }
  for (auto entry = contents.begin(); entry != contents.end();) {
    const Content& content = entry->second;
    const bool is_dropped =
        content.containment ? content.containment->trial_at + kRetention <= now
                            : content.updated_at <= oldest_kept;
    contained_count -= is_dropped && content.containment ? 1 : 0;
    entry = is_dropped ? contents.erase(entry) : std::next(entry);
  }
  for (auto server = lost_servers.begin(); server != lost_servers.end();) {
    server = server->second.lost_at + kRetention <= now
                 ? lost_servers.erase(server)
                 : std::next(server);
  }
}

}  // namespace godwit::dispatch
