#ifndef AGENT_RUN_QUEUE_H_
#define AGENT_RUN_QUEUE_H_

#include <cstdint>
#include <optional>
#include <set>
#include <tuple>
#include <unordered_map>

#include "base/ids.h"
#include "base/millis.h"

namespace godwit::agent {

// Queue of the runs that wait for the backend server. Higher priority goes
// first; waiting for the ageing time counts as one step of priority, so that no
// run starves.
class RunQueue {
 public:
  explicit RunQueue(base::Millis ageing) noexcept : ageing_(ageing) {}

  void Push(base::Millis now, int64_t priority, const base::AttemptId& attempt);
  // Removes and returns the next run.
  std::optional<base::AttemptId> Pop();
  void Remove(const base::AttemptId& attempt);

  // Returns the number of runs that precede one pushed now.
  int64_t CountBefore(base::Millis now, int64_t priority) const;
  int64_t size() const noexcept { return static_cast<int64_t>(order_.size()); }

 private:
  // Rank (lower goes first), sequence number of arrival, run. Ageing changes
  // all ranks equally, so the order never changes.
  using Entry = std::tuple<int64_t, int64_t, base::AttemptId>;

  int64_t Rank(base::Millis now, int64_t priority) const noexcept;

  base::Millis ageing_;
  int64_t arrivals_ = 0;
  std::set<Entry> order_;
  std::unordered_map<base::AttemptId, Entry> entries_;
};

}  // namespace godwit::agent

#endif  // AGENT_RUN_QUEUE_H_
