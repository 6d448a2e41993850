#ifndef DISPATCH_REQUEST_LIMITS_H_
#define DISPATCH_REQUEST_LIMITS_H_

#include <cstddef>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "base/ids.h"
#include "base/millis.h"
#include "dispatch/backend.h"
#include "dispatch/backend_limit_changed.h"
#include "dispatch/limit_notice.h"
#include "dispatch/reply.h"

namespace godwit::dispatch {

class FleetMembers;

// Keeps the limits that backend servers state in their answers, on the requests
// a second that they take from all routers together. Handles a server in need
// under the load of a whole fleet, without a message for each request: a few
// routers, chosen for each server by rendezvous hashing, send to it, each its
// share. The others send a small part together, so that each of them finds out
// when the limit has ended. A router that finds a change in an answer notifies
// the others. A limit belongs to one incarnation of a server. No I/O. Not
// thread-safe.
class RequestLimits {
 public:
  // `members` must outlive this object.
  explicit RequestLimits(const FleetMembers& members);

  // The list of routers was read.
  void OnRoutersListed(base::Millis now);
  // Handles the answer to an attempt that was sent at `sent_at`. Returns the
  // change of the server's limit, if there is one.
  std::optional<BackendLimitChanged> OnAnswer(base::Millis now,
                                              base::Millis sent_at,
                                              const Backend& backend,
                                              const Reply& reply);
  // Handles a notice of another router. Returns the change, as above.
  std::optional<BackendLimitChanged> OnNotice(base::Millis now,
                                              const Backend& backend,
                                              const LimitNotice& notice);
  // Forgets the servers whose Backend::key() is not in `keys`.
  void Retain(const std::set<std::string>& keys);

  // True while no server has a limit.
  bool empty() const noexcept { return limits_.empty(); }
  // Whether this router may send a request to the server now.
  bool MaySend(base::Millis now, const Backend& backend) const;
  void OnSent(base::Millis now, const Backend& backend);
  // Requests a second that this router may send to the server; empty if the
  // server has no limit.
  std::optional<double> SendRate(const Backend& backend) const;

  // Returns the notices for all other routers that are due. Due every few tens
  // of milliseconds.
  std::vector<LimitNotice> Tick(base::Millis now);

 private:
  struct Limit {
    double rate = 0;
    // The last answer or notice that states it.
    base::Millis confirmed_at;
    // The rate that the other routers were last notified of, or notified of.
    double announced = 0;
    // Number of routers that precede this one in the choice of senders.
    size_t rank = 0;
    base::Millis interval;
    base::Millis next_send_at;
  };

  struct Announcement {
    std::optional<double> rate;
    base::Millis observed_at;
    base::Millis due_at;
    size_t sent = 0;
  };

  size_t RankOf(const std::string& key) const;
  base::Millis IntervalOf(base::Millis now, const Limit& limit) const;
  // Returns how long before its time a request may be sent.
  static base::Millis ToleranceOf(const Limit& limit);
  // Adapts the time of the next request to a changed interval.
  void Reschedule(base::Millis now, const std::string& key, Limit& limit);
  // Sets or, without a rate, removes the limit of a server.
  BackendLimitChanged Update(base::Millis now,
                             base::Millis observed_at,
                             const Backend& backend,
                             std::optional<double> rate);
  void Announce(base::Millis now,
                const std::string& key,
                std::optional<double> rate);

  std::vector<LimitNotice> TakeNotices(base::Millis now);

  const FleetMembers& members_;
  bool was_settled_ = false;
  // By Backend::key(), as are the following.
  std::map<std::string, Limit> limits_;
  std::map<std::string, Announcement> announcements_;
  // Servers that stated a limit that can't be read.
  std::set<std::string> unreadable_;
};

}  // namespace godwit::dispatch

#endif  // DISPATCH_REQUEST_LIMITS_H_
