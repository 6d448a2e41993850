#ifndef DISPATCH_COLD_PERIODS_H_
#define DISPATCH_COLD_PERIODS_H_

#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "base/ids.h"
#include "base/millis.h"
#include "dispatch/backend.h"
#include "dispatch/cold_limit.h"
#include "dispatch/reply.h"

namespace godwit::dispatch {

class RoutingTable;

// Until when each backend server is cold, by its incarnation: as it states in
// its registration or in answers, or, if it states nothing, for as long as
// servers of its service usually are. Handles servers that crash under the
// usual load for some time after their start, or after a time without requests.
// Statements count from their receipt, so that those that are received late
// err on the safe side. No I/O. Not thread-safe.
class ColdPeriods {
 public:
  // Which services have cold starts. `table` may be null.
  void SetConfiguration(std::shared_ptr<const RoutingTable> table);

  // All registrations were read. The first time, incarnations that state
  // nothing are not taken for new ones. Returns those whose statement can't be
  // read, each incarnation once; OnRegistered() and OnAnswer() return whether
  // this is one.
  std::vector<Backend> OnListed(base::Millis now,
                                const std::vector<Backend>& backends);
  bool OnRegistered(base::Millis now, const Backend& backend);
  // Handles an answer of the incarnation that is expected at its address.
  bool OnAnswer(base::Millis now, const Backend& backend, const Reply& reply);
  // An incarnation gets requests again after a time without any.
  void OnResumed(base::Millis now, const Backend& backend);
  // Forgets incarnations that are not in `keys`, the values of Backend::key(),
  // after a while: they may register again.
  void Retain(base::Millis now, const std::set<std::string>& keys);

  // Empty if the server is not cold.
  std::optional<ColdLimit> LimitOf(base::Millis now,
                                   const Backend& backend) const;

 private:
  struct Incarnation {
    base::Millis first_registered_at;
    base::Millis last_registered_at;
    bool was_in_first_list = false;
    // When it is warm by its last statement.
    std::optional<base::Millis> stated_until;
    // The last statement in an answer.
    std::optional<base::Millis> answer_stated_at;
    // See OnResumed().
    std::optional<base::Millis> resumed_at;
    bool has_unreadable_statement = false;
  };

  bool Apply(base::Millis now, const Backend& backend, bool is_first_list);

  std::shared_ptr<const RoutingTable> table_;
  bool was_listed_ = false;
  // By Backend::key().
  std::map<std::string, Incarnation> incarnations_;
};

}  // namespace godwit::dispatch

#endif  // DISPATCH_COLD_PERIODS_H_
