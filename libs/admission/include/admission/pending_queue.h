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

// Requests of one service that wait for room, by priority with ageing: each
// second of waiting counts as kAgeingPerSecond points of priority. An entry
// whose predicted wait passes its deadline is refused at once. One thread at a
// time.
class PendingQueue {
 public:
  // Points of priority that a waiting entry gains in a second.
  static constexpr int64_t kAgeingPerSecond = 5;

  // `max_entries`: entries beyond it are refused whatever their deadline.
  explicit PendingQueue(size_t max_entries);

  // Queues the entry, or says why not: kOverloaded when full or when the
  // predicted wait behind the entries ahead of it passes its deadline.
  std::optional<LimitRefusal> Push(base::Millis now, const PendingEntry& entry);
  // Takes the entry that goes next; empty when none waits. Counts as room
  // found, from which the rate of room is learnt.
  std::optional<int64_t> PopReady(base::Millis now);
  // Removes and returns the entries whose deadline has passed.
  std::vector<int64_t> Expire(base::Millis now);
  // Removes an entry whose caller went away; false when it is not queued.
  bool Remove(int64_t id);

  size_t size() const noexcept { return entries_.size(); }
  // Predicted wait of an entry of that priority pushed now; zero while the
  // rate of room is unknown.
  base::Millis PredictedWait(base::Millis now, int64_t priority) const;

 private:
  struct Queued {
    // Priority less ageing, in milli-points at time zero: keeps its order
    // among entries however long they wait.
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
  // The latest pop; empty when nothing waited after it.
  std::optional<base::Millis> last_pop_;
};

}  // namespace godwit::admission

#endif  // ADMISSION_PENDING_QUEUE_H_
