#ifndef ADMISSION_PENDING_QUEUE_H_
#define ADMISSION_PENDING_QUEUE_H_

#include <cstddef>
#include <cstdint>
#include <optional>
#include <set>
#include <vector>

#include "admission/limit_refusal.h"
#include "admission/pending_entry.h"
#include "base/millis.h"

namespace godwit::admission {

// Requests of one service that wait for capacity, by priority with ageing: each
// second of waiting counts as kAgeingPerSecond points of priority. An entry
// whose predicted wait exceeds its deadline is refused at once. Not
// thread-safe.
class PendingQueue {
 public:
  // Points of priority that a waiting entry gains per second.
  static constexpr int64_t kAgeingPerSecond = 5;

  // Entries beyond `max_entries` are refused whatever their deadline.
  explicit PendingQueue(size_t max_entries);

  // Queues the entry, or returns the reason for its refusal: kOverloaded if the
  // queue is full or the predicted wait behind the entries ahead of it exceeds
  // its deadline.
  std::optional<LimitRefusal> Push(base::Millis now, const PendingEntry& entry);
  // Removes and returns the id of the next entry; empty if none is queued. Each
  // call means that capacity became free; the rate of these calls is used to
  // predict waits.
  std::optional<int64_t> PopReady(base::Millis now);
  // Removes the entries whose deadline has passed and returns their ids.
  std::vector<int64_t> Expire(base::Millis now);
  // Removes an entry whose caller disconnected; false if it is not queued.
  bool Remove(int64_t id);

  size_t size() const noexcept { return entries_.size(); }
  // Predicted wait of an entry of this priority pushed now; zero while the rate
  // at which capacity becomes free is unknown.
  base::Millis PredictedWait(base::Millis now, int64_t priority) const;

 private:
  struct Queued {
    // Priority minus the points that ageing adds from time zero to the arrival,
    // in thousandths of a point. Constant, so that the order of entries does
    // not change while they wait.
    int64_t rank = 0;
    int64_t sequence = 0;
    PendingEntry entry;
    friend bool operator<(const Queued& a, const Queued& b) {
      return a.rank != b.rank ? a.rank > b.rank : a.sequence < b.sequence;
    }
  };

  static int64_t Rank(base::Millis now, int64_t priority);

  size_t max_entries_;
  int64_t next_sequence_ = 1;
  std::set<Queued> entries_;
  // Mean time between pops while entries wait; 0 while unknown.
  double pop_interval_ms_ = 0;
  // The latest pop; empty if it left the queue empty.
  std::optional<base::Millis> last_pop_;
};

}  // namespace godwit::admission

#endif  // ADMISSION_PENDING_QUEUE_H_
