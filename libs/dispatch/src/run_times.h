#ifndef DISPATCH_SRC_RUN_TIMES_H_
#define DISPATCH_SRC_RUN_TIMES_H_

#include <deque>
#include <map>
#include <optional>
#include <string>

#include "base/millis.h"

namespace godwit::dispatch {

// How long the requests of each route lately took at their servers.
class RunTimes {
 public:
  // A request was answered completely, `time` after it was sent.
  void OnAnswered(base::Millis now,
                  const std::string& route,
                  base::Millis time);
  // The time within which `percent` of the route's last requests were answered;
  // empty if none was answered in the last minute.
  std::optional<base::Millis> Percentile(base::Millis now,
                                         const std::string& route,
                                         int percent) const;

 private:
  struct Route {
    base::Millis answered_at;
    std::deque<base::Millis> times;
  };

  std::map<std::string, Route> routes_;
};

}  // namespace godwit::dispatch

#endif  // DISPATCH_SRC_RUN_TIMES_H_
