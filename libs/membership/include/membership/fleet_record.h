#ifndef MEMBERSHIP_FLEET_RECORD_H_
#define MEMBERSHIP_FLEET_RECORD_H_

#include <cstddef>
#include <optional>
#include <vector>

#include "base/ids.h"
#include "base/millis.h"
#include "membership/fleet_agent.h"
#include "membership/fleet_edit.h"

namespace godwit::membership {

// Key of the fleet record in the KV. Its KV version is the fleet version that
// messages carry.
inline constexpr char kFleetKey[] = "fleet/agents";

// How long the request directory of an ended life matters to its peers.
inline constexpr base::Millis kDirectoryRetention = base::Seconds(600);
// Age beyond which gone lives leave the record: the retention and a margin
// for wall clocks that differ.
inline constexpr base::Millis kRemovedRetention = base::Seconds(900);

// The agents of the fleet, lives that ended lately included. An immutable
// value; edits give a new one.
class FleetRecord {
 public:
  FleetRecord() = default;
  // Sorts the agents by (joined_at, incarnation); an incarnation that stands
  // twice is kept once.
  explicit FleetRecord(std::vector<FleetAgent> agents);

  // In the order of (joined_at, incarnation).
  const std::vector<FleetAgent>& agents() const noexcept { return agents_; }

  // The life's entry, or null.
  const FleetAgent* Find(const base::Incarnation& incarnation) const noexcept;

  // The life of the process that is active or leaving, or null.
  const FleetAgent* FindLive(const base::ProcessId& process) const noexcept;

  // The record after the edit; equal to this one when it has no effect.
  FleetRecord Apply(const FleetEdit& edit) const;

  // The edit that removes lives gone for longer than kGoneRetention; empty
  // when there are none. `wall` is wall time.
  std::optional<Prune> PruneDue(base::Millis wall) const noexcept;

  friend bool operator==(const FleetRecord& a, const FleetRecord& b) {
    return a.agents_ == b.agents_;
  }
  friend bool operator!=(const FleetRecord& a, const FleetRecord& b) {
    return !(a == b);
  }

 private:
  std::vector<FleetAgent> agents_;
  // Positions in agents_, sorted by incarnation and by process.
  std::vector<size_t> by_incarnation_;
  std::vector<size_t> by_process_;
};

}  // namespace godwit::membership

#endif  // MEMBERSHIP_FLEET_RECORD_H_
