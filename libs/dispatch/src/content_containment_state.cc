#include "content_containment_state.h"

#include <algorithm>
#include <iterator>
#include <utility>

#include "base/digest.h"
#include "dispatch/fleet_members.h"

namespace godwit::dispatch {
namespace {

// Time between the decisions of routers that know of a loss by a notice.
constexpr base::Millis kDecisionSpacing(25);
// Time without new losses after which evidence is dropped, and time for which a
// containment waits for a request to try.
constexpr base::Millis kRetention(300'000);
constexpr base::Millis kTrialRetention(3'600'000);
constexpr base::Millis kExpiryInterval(1000);
// Bound on the contents with evidence; the oldest are dropped.
constexpr size_t kMaxContents = 8192;
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
                                        const ContentKey& key,
                                        Content& content,
                                        const Containment& containment) {
  if (!content.containment) {
    ++contained_count;
  }
  content.containment = containment;
  content.updated_at = now;
  if (!containment.has_begun) {
    beginning.insert(key);
  }
}

void ContentContainment::State::BeginContainments(base::Millis now) {
  for (auto key = beginning.begin(); key != beginning.end();) {
    const auto found = contents.find(*key);
    if (found != contents.end() && found->second.containment) {
      Containment& containment = *found->second.containment;
      if (now < containment.begins_at) {
        ++key;
        continue;
      }
      containment.has_begun = true;
      newly_contained.push_back(*key);
      RecordChange(ContentStateChanged::State::kContained, *key, found->second,
                   containment.trial_at - now, containment.by_notice);
      if (!containment.by_notice) {
        Broadcast(NoticeOf(now, *key, containment));
      }
    }
    key = beginning.erase(key);
  }
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
  content.held_until = base::Millis();
  content.updated_at = now;
  if (content.containment) {
    content.containment->last_lost_at =
        std::max(content.containment->last_lost_at, loss.lost_at);
    return;
  }
  if (content.evidence.count() < kSuspiciousLosses) {
    return;
  }
  // Of the routers that know of the loss by a notice, the next one decides only
  // if those before it did not.
  const base::Millis delay =
      by_notice ? kDecisionSpacing * RankFor(key) : base::Millis();
  const auto [entry, is_new] =
      undecided.try_emplace(key, Decision{now + delay, delay});
  Decision& decision = entry->second;
  decision.due_at = std::min(decision.due_at, now + delay);
  decision.delay = std::min(decision.delay, delay);
  decision.has_news = true;
  decision.is_postponed = false;
}

void ContentContainment::State::MarkCrashed(base::Millis now,
                                            const std::string& backend) {
  const auto found = lost_servers.find(backend);
  if (found == lost_servers.end() || found->second.has_crashed) {
    return;
  }
  found->second.has_crashed = true;
  for (const ContentKey& key : found->second.contents) {
    const auto entry = undecided.find(key);
    if (entry != undecided.end()) {
      Decision& decision = entry->second;
      decision.due_at = std::min(decision.due_at, now + decision.delay);
      untold_crashes.insert(backend);
    }
  }
}

void ContentContainment::State::Reconsider(const ContentKey& key) {
  const auto entry = undecided.find(key);
  if (entry == undecided.end()) {
    return;
  }
  const auto found = contents.find(key);
  if (found == contents.end() ||
      found->second.evidence.count() < kSuspiciousLosses) {
    undecided.erase(entry);
    return;
  }
  entry->second.has_news = true;
}

bool ContentContainment::State::Clear(base::Millis now,
                                      const ContentKey& key,
                                      base::Millis answered_at) {
  const auto found = contents.find(key);
  if (found == contents.end()) {
    return false;
  }
  Content& content = found->second;
  // An answer between the losses interrupts their row; one before them raises
  // the number of losses that are required.
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
  content.held_until = base::Millis();
  content.updated_at = now;
  if (ends_containment) {
    content.containment.reset();
    --contained_count;
  }
  if (content.evidence.empty() && !content.containment) {
    contents.erase(found);
  }
  Reconsider(key);
  return ends_containment || is_suspected;
}

void ContentContainment::State::Broadcast(RouterMessage message) {
  messages.push_back({std::nullopt, std::move(message)});
}

void ContentContainment::State::BroadcastClearance(base::Millis now,
                                                   const ContentKey& key,
                                                   base::Millis answered_at) {
  Broadcast(ClearanceNotice{key, now - answered_at, true});
  cleared.emplace_back(key, answered_at);
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
          containment.period,
          containment.has_begun};
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
  untold_crashes.erase(backend);
  for (const ContentKey& key : affected) {
    const auto entry = contents.find(key);
    if (entry == contents.end()) {
      continue;
    }
    CrashEvidence& evidence = entry->second.evidence;
    evidence.Retract(backend);
    if (evidence.count() < kSuspiciousLosses) {
      // The content is not suspected any more, so that nothing waits for the
      // outcome of its runs at other routers.
      entry->second.held_until = base::Millis();
    }
    const auto& containment = entry->second.containment;
    if (containment && !containment->by_notice &&
        evidence.count() < RequiredLosses(key, evidence)) {
      if (Clear(now, key, now)) {
        BroadcastClearance(now, key, now);
      }
    } else if (!containment && evidence.empty()) {
      contents.erase(entry);
    }
    Reconsider(key);
  }
}

void ContentContainment::State::FlushLosses(base::Millis now) {
  for (const auto& [backend, started] : untold) {
    const auto server = lost_servers.find(backend);
    if (server == lost_servers.end()) {
      continue;
    }
    const base::Millis lost_at = server->second.lost_at;
    LossNotice notice{backend, now - lost_at, {}, !server->second.has_crashed};
    untold_crashes.erase(backend);
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
  for (const std::string& backend : untold_crashes) {
    const auto server = lost_servers.find(backend);
    if (server != lost_servers.end()) {
      Broadcast(LossNotice{backend, now - server->second.lost_at, {}, false});
    }
  }
  untold_crashes.clear();
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
    if (content.containment && content.containment->has_begun &&
        count++ < kMaxGossipPerInterval) {
      messages.push_back(
          {next->second, NoticeOf(now, key, *content.containment)});
    }
  }
}

void ContentContainment::State::Expire(base::Millis now) {
  if (now - expired_at < kExpiryInterval) {
    return;
  }
  expired_at = now;
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
        content.containment
            ? content.containment->trial_at + kTrialRetention <= now
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
