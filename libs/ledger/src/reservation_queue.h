#ifndef LEDGER_RESERVATION_QUEUE_H_
#define LEDGER_RESERVATION_QUEUE_H_

#include <map>
#include <optional>
#include <utility>

#include "base/ids.h"
#include "base/millis.h"
#include "reservation_rank.h"

namespace godwit::ledger {

// Requests of one router that wait for tokens of one budget. They repeat their
// reservations; one that no longer does has ended. It handles the end of a
// budget, when requests arrive faster than tokens are returned: without an
// order, small requests would take what a larger or more urgent one waits for.
class ReservationQueue {
 public:
  struct Waiting {
    ReservationRank rank;
    base::Tokens amount = 0;
  };

  // Adds a request, or records that it repeats its reservation.
  void Add(base::Millis now, const ReservationRank& rank, base::Tokens amount);
  void Remove(const ReservationRank& rank, base::Tokens amount);
  // Removes the requests that have not repeated their reservations since
  // `time`.
  void RemoveOlder(base::Millis time);

  // Returns the request to be served first, or no value if none waits.
  std::optional<Waiting> First() const;
  // Returns what all requests wait for, and those that precede `rank`.
  base::Tokens Total() const;
  base::Tokens AmountBefore(const ReservationRank& rank) const;

 private:
  // Time of the last repetition, by rank and amount.
  std::map<std::pair<ReservationRank, base::Tokens>, base::Millis> waiting_;
};

}  // namespace godwit::ledger

#endif  // LEDGER_RESERVATION_QUEUE_H_
