#ifndef DISPATCH_CONTENT_CONTAINMENT_H_
#define DISPATCH_CONTENT_CONTAINMENT_H_

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "base/endpoint.h"
#include "base/millis.h"
#include "dispatch/clearance_notice.h"
#include "dispatch/containment_notice.h"
#include "dispatch/content_key.h"
#include "dispatch/content_state_changed.h"
#include "dispatch/loss_notice.h"
#include "dispatch/loss_retraction.h"
#include "dispatch/router_message.h"

namespace godwit::dispatch {

class FleetMembers;

// Contents of requests that crash backend servers one after the other, over all
// routers of the fleet. A content is suspected with each server that is lost
// while it has unanswered requests with it, cleared as soon as one of them is
// answered, and contained after a few losses in a row. Routers tell each other
// of losses, and of what they contain and clear; one that has answered a
// content objects to its containment, and one that missed these messages is
// told what is contained within seconds. Handles requests that crash servers
// on purpose or by a fault, beside losses of servers for other reasons, and of
// connections to servers that live on: a decision waits until there was time to
// hear of the lost servers, unless there is other evidence that they crashed.
// Losses
// alone create entries, so that their number is bounded by that of lost
// requests. No I/O. Not thread-safe.
class ContentContainment {
 public:
  enum class Verdict : uint8_t {
    kFree,
    // Contained, and this request finds out whether it still crashes servers.
    kTrial,
    // Must not be sent.
    kContained,
  };

  // What is known of a server to which a connection was lost.
  enum class LossKind : uint8_t {
    // It has crashed.
    kCrash,
    // It may live on. The loss counts as soon as there is other evidence of the
    // crash, or if the server is not heard of in time.
    kConnection,
  };

  struct Message {
    // Empty for a message to all other routers.
    std::optional<base::Endpoint> to;
    RouterMessage message;
  };

  explicit ContentContainment(const FleetMembers& members);
  ~ContentContainment();
  ContentContainment(const ContentContainment&) = delete;
  ContentContainment& operator=(const ContentContainment&) = delete;

  // Decides on a request that arrived. `contents` is sorted. Begins a trial if
  // one is due here.
  Verdict Judge(base::Millis now, const std::vector<ContentKey>& contents);
  // True if one of them is contained, whether or not a trial is due.
  bool HasContained(base::Millis now,
                    const std::vector<ContentKey>& contents) const;
  // Whether a request with these contents must wait for a decision that is made
  // within a few hundred milliseconds, or for the outcome of a suspected repeat
  // at another router.
  bool IsUndecided(base::Millis now,
                   const std::vector<ContentKey>& contents) const;
  // Whether a request with these contents must not be sent beside another one
  // that is in progress.
  bool MustRunAlone(const std::vector<ContentKey>& contents) const;
  // Longest time until a trial of one of them; zero if none is contained.
  base::Millis RemainingTime(base::Millis now,
                             const std::vector<ContentKey>& contents) const;
  // True if each contained one of them has been answered before.
  bool WereAnswered(base::Millis now,
                    const std::vector<ContentKey>& contents) const;

  // A request with these contents was sent to a server.
  void OnSent(const std::vector<ContentKey>& contents);
  // The connection to a server with this Backend::key() was lost while it had
  // an unanswered attempt with these contents.
  void OnLost(base::Millis now,
              const std::string& backend,
              base::Millis started_at,
              const std::vector<ContentKey>& contents,
              LossKind kind = LossKind::kCrash);
  // A server has crashed if it is one to which a connection was lost: all of
  // them were, or there is a new incarnation.
  void OnCrashed(base::Millis now, const std::string& backend);
  // A connection to a server could not be opened for an attempt that started
  // then.
  void OnRefused(base::Millis now,
                 const std::string& backend,
                 base::Millis started_at);
  // An attempt with these contents was answered.
  void OnAnswered(base::Millis now, const std::vector<ContentKey>& contents);
  // Something was received from a server; for an attempt that started then, if
  // this is stated.
  void OnReceived(base::Millis now,
                  const std::string& backend,
                  const std::optional<base::Millis>& started_at = std::nullopt);
  // True while OnReceived() must be called.
  bool has_losses() const noexcept;

  void On(base::Millis now, const LossNotice& notice);
  void On(base::Millis now, const LossRetraction& retraction);
  void On(base::Millis now,
          const base::Endpoint& from,
          const ContainmentNotice& notice);
  void On(base::Millis now, const ClearanceNotice& notice);
  void On(base::Millis now, const SuspectRunNotice& notice);

  // Queues what is due. Due every few tens of milliseconds.
  void Tick(base::Millis now);

  // Return and clear: messages, state changes for logs, and contents that were
  // contained since the last call.
  std::vector<Message> TakeMessages();
  std::vector<ContentStateChanged> TakeChanges();
  std::vector<ContentKey> TakeContained();

 private:
  struct State;
  std::unique_ptr<State> state_;
};

}  // namespace godwit::dispatch

#endif  // DISPATCH_CONTENT_CONTAINMENT_H_
