#ifndef DISPATCH_CONTENT_CONTAINMENT_STATE_H_
#define DISPATCH_CONTENT_CONTAINMENT_STATE_H_

#include <cstddef>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "answered_contents.h"
#include "base/ids.h"
#include "base/millis.h"
#include "crash_evidence.h"
#include "dispatch/content_containment.h"

namespace godwit::dispatch {

struct ContentContainment::State {
  // Losses in a row after which a content is suspected.
  static constexpr int64_t kSuspiciousLosses = 2;
  // Losses in a row after which a content is contained that was answered before
  // and is more likely to have been lost with requests beside it.
  static constexpr int64_t kLossesIfAnswered = 5;
  // Time from the decision to contain a content until requests are refused, in
  // which another router may object.
  static constexpr base::Millis kObjectionTime{20};
  // Time after a loss in which the router hears of the server if it lives on:
  // what arrives within 250 ms of the loss may have been sent before it.
  static constexpr base::Millis kSettleTime{300};

  struct Containment {
    // From when on requests are refused. Until then, a router that has answered
    // one may object.
    base::Millis begins_at;
    bool has_begun = false;
    base::Millis trial_at;
    base::Millis period;
    // Losses of the first and the last server, here or at another router, and
    // the number of those in a row that led to the containment.
    base::Millis first_lost_at;
    base::Millis last_lost_at;
    int64_t losses = 0;
    // Decided by another router.
    bool by_notice = false;
  };

  struct Content {
    CrashEvidence evidence;
    std::optional<Containment> containment;
    base::Millis updated_at;
    // Until when another router is expected to tell how a run or a decision
    // ended.
    base::Millis held_until;
  };

  // A server to which connections were lost.
  struct LostServer {
    base::Millis lost_at;
    std::set<ContentKey> contents;
    // More than the loss shows that it has crashed.
    bool has_crashed = false;
  };

  // A decision that new losses require.
  struct Decision {
    base::Millis due_at;
    // Time that this router leaves to those that decide before it.
    base::Millis delay;
    // Losses were added or retracted since the last tick.
    bool has_news = true;
    // Is due once its losses have settled.
    bool is_postponed = false;
    // The content will be contained unless a lost server lives on, so that
    // requests with it wait.
    bool holds_requests = false;
  };

  explicit State(const FleetMembers& fleet) : members(fleet) {}

  void AddLoss(base::Millis now,
               const ContentKey& key,
               const CrashEvidence::Loss& loss,
               bool by_notice);
  // True if the server has crashed for certain, or was not heard of in time.
  bool IsSettled(base::Millis now, const CrashEvidence::Loss& loss) const;
  // True if this part of a content's evidence suffices to contain it.
  bool Suffices(const ContentKey& key,
                const Content& content,
                const CrashEvidence& evidence) const;
  // More than a loss shows that the server has crashed.
  void MarkCrashed(base::Millis now, const std::string& backend);
  // Losses of a content that may be undecided were retracted.
  void Reconsider(const ContentKey& key);
  // Losses in a row after which the content is contained.
  int64_t RequiredLosses(const ContentKey& key,
                         const CrashEvidence& evidence) const;
  // True while a containment has not begun or depends on whether a server lives
  // on, and while a suspected request has losses on which nothing was decided
  // or runs at another router.
  bool IsUndecided(base::Millis now, const ContentKey& key) const;
  // True of a request that was lost several times in a row and never answered.
  bool IsSuspectedRequest(const ContentKey& key) const;
  // Decides on the contents with new losses, once all that were in progress at
  // the lost servers are known.
  void Decide(base::Millis now);
  // Returns false if the decision was postponed.
  bool Decide(base::Millis now,
              const ContentKey& key,
              Content& content,
              Decision& decision);
  void Contain(base::Millis now,
               const ContentKey& key,
               Content& content,
               const Containment& containment);
  // Handles an answer. Returns true if the content was suspected or contained,
  // so that other routers may have to be told.
  bool Clear(base::Millis now, const ContentKey& key, base::Millis answered_at);
  void Broadcast(RouterMessage message);
  // Tells all routers twice: one that misses it would refuse sound requests.
  void BroadcastClearance(base::Millis now,
                          const ContentKey& key,
                          base::Millis answered_at);
  static ContainmentNotice NoticeOf(base::Millis now,
                                    const ContentKey& key,
                                    const Containment& containment);
  void Retract(base::Millis now, const std::string& backend);
  void RecordChange(ContentStateChanged::State change,
                    const ContentKey& key,
                    const Content& content,
                    base::Millis remaining,
                    bool by_notice);
  // Null if the content is not contained, or will only be.
  const Containment* FindContainment(base::Millis now,
                                     const ContentKey& key) const;
  // Begins the containments that are due.
  void BeginContainments(base::Millis now);
  // At how many of the lost servers each content was in progress.
  std::map<ContentKey, size_t> CountLostWith(
      const CrashEvidence& evidence) const;
  // True of a request that was lost only with servers at which another content
  // was in progress, never answered and lost with more servers, or a part with
  // as many. Callers repeat a request that is lost beside one that crashes
  // servers.
  bool IsExplained(const ContentKey& key, const CrashEvidence& evidence) const;
  // True if another contained content, never answered and missing from the
  // request, was in progress at the same lost servers: then the request tells
  // which of the two crashes servers.
  bool IsAmbiguous(const ContentKey& key,
                   const Content& content,
                   const std::vector<ContentKey>& request) const;
  // Whether this router may send a request with a contained content, to find
  // out whether it still crashes servers.
  bool IsTrialDue(base::Millis now,
                  const ContentKey& key,
                  const std::vector<ContentKey>& request) const;
  // Position of this router among all by rendezvous hashing of the content.
  int64_t RankFor(const ContentKey& key) const;
  void FlushLosses(base::Millis now);
  void QueueGossip(base::Millis now);
  void Expire(base::Millis now);

  const FleetMembers& members;
  AnsweredContents answered;
  std::map<ContentKey, Content> contents;
  size_t contained_count = 0;
  std::map<std::string, LostServer> lost_servers;
  // Contents with new losses.
  std::map<ContentKey, Decision> undecided;
  // Own losses that the other routers were not told of, by server.
  std::map<std::string, std::map<ContentKey, base::Millis>> untold;
  // Servers of which the other routers must be told that they have crashed.
  std::set<std::string> untold_crashes;
  // Contained, but not yet begun.
  std::set<ContentKey> beginning;
  base::Millis expired_at;
  base::Millis gossiped_at;
  base::ProcessId gossiped_to;
  // Clearances that are repeated with the next tick, and when the content was
  // answered.
  std::vector<std::pair<ContentKey, base::Millis>> cleared;
  std::vector<Message> messages;
  std::vector<ContentStateChanged> changes;
  std::vector<ContentKey> newly_contained;
};

}  // namespace godwit::dispatch

#endif  // DISPATCH_CONTENT_CONTAINMENT_STATE_H_
