#ifndef DISPATCH_SRC_RUN_TIMES_H_
#define DISPATCH_SRC_RUN_TIMES_H_

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
  // The longest time of the last half a minute at least; empty if the route had
  // no answer in it.
  std::optional<base::Millis> Longest(base::Millis now,
                                      const std::string& route) const;

 private:
  using Times = std::map<std::string, base::Millis>;

  static std::optional<base::Millis> Find(const Times& times,
                                          const std::string& route);

  // The times of the window that began at began_at_, and of the one before.
  base::Millis began_at_;
  Times current_;
  Times previous_;
};

}  // namespace godwit::dispatch

#endif  // DISPATCH_SRC_RUN_TIMES_H_
