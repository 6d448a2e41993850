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
#include "dispatch/backend_cold_changed.h"
#include "dispatch/backend_limit_changed.h"
#include "dispatch/cold_limit.h"
#include "dispatch/limit_notice.h"
#include "dispatch/reply.h"
#include "dispatch/send_window.h"

namespace godwit::dispatch {

class FleetMembers;

// Keeps the limits that backend servers state in their answers, on the requests
// a second that they take from all routers together. Handles a server in need
// under the load of a whole fleet, without a message for each request: a few
// routers, chosen for each server by rendezvous hashing, send to it, each its
// share. The others send a small part together, so that each of them finds out
// when the limit has ended. A router that finds a change in an answer notifies
// the others. A limit belongs to one incarnation of a server. A
// cold server has a limit, too, which bounds the requests in any one second and
// whose end is known, so that only its senders send to it. Of several limits,
// the lowest holds, since all choose the senders by the same ranks. No I/O. Not
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
  // Sets the limit of a cold server or, without one, ends it. Returns the
  // change, if the server becomes cold or warm.
  std::optional<BackendColdChanged> SetCold(
      base::Millis now,
      const Backend& backend,
      const std::optional<ColdLimit>& limit);
  // Ends the limits of cold servers that have become warm.
  std::vector<BackendColdChanged> EndColdLimits(base::Millis now);
  // Forgets the servers whose Backend::key() is not in `keys`.
  void Retain(const std::set<std::string>& keys);

  // True while no server has a limit.
  bool empty() const noexcept { return limits_.empty() && cold_.empty(); }
  // Number of cold servers.
  size_t cold_servers() const noexcept { return cold_.size(); }
  // Whether this router may send a request to the server now.
  bool MaySend(base::Millis now, const Backend& backend) const;
  void OnSent(base::Millis now, const Backend& backend);
  // Requests a second that this router may send to the server; empty if the
  // server has no limit.
  std::optional<double> SendRate(const Backend& backend) const;
  // When the server's limit ends; empty if it has none, or its end is unknown.
  std::optional<base::Millis> EndOf(const Backend& backend) const;

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

  struct Cold {
    base::ServiceId service;
    std::string instance;
    ColdLimit limit;
    // As in Limit.
    size_t rank = 0;
    SendWindow window;
  };

  struct Announcement {
    std::optional<double> rate;
    base::Millis observed_at;
    base::Millis due_at;
    size_t sent = 0;
  };

  size_t RankOf(const std::string& key) const;
  // A number from 0 to 1 for this router and a server.
  double PhaseOf(const std::string& key) const;
  // Sets this router's share of the limit of a cold server.
  void ApportionCold(base::Millis now, const std::string& key, Cold& cold);
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
  std::map<std::string, Cold> cold_;
  std::map<std::string, Announcement> announcements_;
  // Servers that stated a limit that can't be read.
  std::set<std::string> unreadable_;
};

}  // namespace godwit::dispatch

#endif  // DISPATCH_REQUEST_LIMITS_H_
