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

// Key of the fleet record in the KV. The KV version of this key is the fleet
// version carried by messages.
inline constexpr char kFleetKey[] = "fleet/agents";

// How long the request directory of an ended incarnation matters to its peers.
inline constexpr base::Millis kDirectoryRetention = base::Seconds(600);
// Time after which removed incarnations are pruned from the record: the
// directory retention plus a margin for differences between wall clocks.
inline constexpr base::Millis kRemovedRetention = base::Seconds(900);

// The agents of the fleet, including recently ended incarnations. An immutable
// value; edits return a new record.
class FleetRecord {
 public:
  FleetRecord() = default;
  // Sorts the agents by (joined_at, incarnation). Duplicate incarnations are
  // dropped.
  explicit FleetRecord(std::vector<FleetAgent> agents);

  // Sorted by (joined_at, incarnation).
  const std::vector<FleetAgent>& agents() const noexcept { return agents_; }

  // Returns the entry of the incarnation, or null.
  const FleetAgent* Find(const base::Incarnation& incarnation) const noexcept;

  // Returns the active or leaving incarnation of the process, or null.
  const FleetAgent* FindLive(const base::ProcessId& process) const noexcept;

  // Returns the record after the edit; equal to this one if the edit has no
  // effect.
  FleetRecord Apply(const FleetEdit& edit) const;

  // Returns the edit that prunes incarnations removed for at least
  // kRemovedRetention, or std::nullopt if there are none. `wall` is wall time.
  std::optional<Prune> PruneDue(base::Millis wall) const noexcept;

  friend bool operator==(const FleetRecord& a, const FleetRecord& b) {
    return a.agents_ == b.agents_;
  }
  friend bool operator!=(const FleetRecord& a, const FleetRecord& b) {
    return !(a == b);
  }

 private:
  std::vector<FleetAgent> agents_;
  // Indices into agents_, sorted by incarnation and by process.
  std::vector<size_t> by_incarnation_;
  std::vector<size_t> by_process_;
};

}  // namespace godwit::membership

#endif  // MEMBERSHIP_FLEET_RECORD_H_
