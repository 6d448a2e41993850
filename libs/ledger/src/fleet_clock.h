#ifndef LEDGER_FLEET_CLOCK_H_
#define LEDGER_FLEET_CLOCK_H_

#include <cstddef>
#include <map>
#include <optional>

#include "base/ids.h"
#include "base/millis.h"
#include "wall_clocks.h"

namespace godwit::ledger {

// Time of day as the routers of a fleet have it: the median of their wall
// clocks, so that it is right while fewer than half of them jump. Unlike a
// monotonic clock, it can be compared across the restart of a VM. No I/O.
class FleetClock {
 public:
  explicit FleetClock(base::ProcessId self) : self_(std::move(self)) {}

  // Sets the difference between this VM's wall clock and its monotonic clock.
  void SetOwn(base::Millis offset) { own_ = offset; }
  // Records the wall clock of another router at the time `now` of this VM's
  // monotonic clock. Zero if it is not known.
  void Record(base::Millis now,
              const base::ProcessId& router,
              base::Millis wall_time);

  // Returns the difference between fleet time and this VM's monotonic clock, or
  // no value if messages of too few routers were received recently. Of an even
  // number of clocks, Earliest and Latest return the two in the middle.
  std::optional<base::Millis> Earliest(base::Millis now) const;
  std::optional<base::Millis> Latest(base::Millis now) const;

  // Returns lower bounds of the wall clocks of up to `count` routers at `now`,
  // including this one: those that were received last.
  WallClocks LowerBounds(base::Millis now, size_t count) const;

 private:
  struct Reading {
    base::Millis offset;
    base::Millis recorded_at;
  };

  // Erases the readings of routers that left the fleet.
  void EraseOld(base::Millis now);
  std::optional<base::Millis> Median(base::Millis now, bool latest) const;

  const base::ProcessId self_;
  std::optional<base::Millis> own_;
  std::map<base::ProcessId, Reading> readings_;
};

}  // namespace godwit::ledger

#endif  // LEDGER_FLEET_CLOCK_H_
