#ifndef MEMBERSHIP_MEMBERSHIP_H_
#define MEMBERSHIP_MEMBERSHIP_H_

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "base/ids.h"
#include "base/millis.h"
#include "link/connection_id.h"
#include "membership/agent_view.h"
#include "membership/dial_target.h"
#include "membership/fleet_record.h"
#include "membership/membership_settings.h"
#include "membership/service_agents.h"
#include "platform/vm.h"

namespace godwit::link {
struct Hello;
}

namespace godwit::membership {

// A router's view of the agents: the platform's lagging VM list and the fleet
// record, corrected by what links show. `now` is any monotonic clock of the
// router. One thread at a time.
class Membership {
 public:
  explicit Membership(MembershipSettings settings);

  // The services of the configuration in force, replacing earlier ones. Before
  // the first, a few agents are dialled, from which it can be pulled.
  void SetServices(std::vector<ServiceAgents> services);

  // A version of the fleet record was read. Older versions than the newest
  // seen are ignored.
  void OnFleetRecord(base::Millis now, FleetRecord record, int64_t version);
  // The VM list was read. Only agents matter. That a VM leaves counts for the
  // life which the fleet record lists at its address: the list may still name
  // the VM of an earlier life.
  void OnVmList(base::Millis now, const std::vector<platform::Vm>& vms);
  // A link to an agent is up. Of several links to a process the one dialled
  // last counts, which has the highest id; links to a life that the fleet
  // record knows to be gone never do.
  void OnLinkUp(base::Millis now,
                link::ConnectionId connection,
                const link::Hello& peer);
  // Links that were never up or are already down may be named.
  void OnLinkDown(base::Millis now, link::ConnectionId connection);
  // A heartbeat arrived. `leaving` is what it says; once true for a life it
  // stays so.
  void OnHeartbeat(base::Millis now,
                   link::ConnectionId connection,
                   bool leaving);
  // Any other message arrived on the link.
  void OnMessageReceived(base::Millis now, link::ConnectionId connection);
  // An agent refused a start because it is leaving.
  void OnRefusedLeaving(link::ConnectionId connection);
  // The lease keys `agents/INCARNATION` that the KV holds, all of them. Don't
  // call when the KV could not be asked.
  void OnLeases(base::Millis now, const std::set<base::Incarnation>& live);

  // Agents of the service that may be given new work: connected, not leaving,
  // not gone.
  std::vector<AgentView> Usable(base::Millis now,
                                const base::ServiceId& service) const;
  // Every known life that is not gone, by process and incarnation.
  std::vector<AgentView> Views(base::Millis now) const;
  // The view of one life; empty when it is unknown or gone.
  std::optional<AgentView> Find(base::Millis now,
                                const base::Incarnation& incarnation) const;

  // Agents that the router links to for the service: of at most subset_size
  // processes, balanced over data centres, by rendezvous hashing of router and
  // agent.
  std::vector<base::ProcessId> Subset(const base::ServiceId& service) const;

  // Keeps a link to an agent outside the subsets, for the request directory
  // or a recovery, until `until`.
  void KeepLink(const base::ProcessId& process, base::Millis until);
  // Agents to dial. Counts as dialled: the next call names them again only
  // after a backoff, and only while no link is up.
  std::vector<DialTarget> TakeDialTargets(base::Millis now);
  // Links that are no longer wanted: outside every subset, to a life that is
  // gone, or replaced by a newer link. Close each once no run is on it.
  std::vector<link::ConnectionId> UnwantedLinks(base::Millis now) const;

  // Lives in the record that lapsed: neither link nor lease for
  // removal_timeout. Submit MarkGone for each.
  std::vector<base::Incarnation> Lapsed(base::Millis now) const;

  const FleetRecord& record() const noexcept { return record_; }
  int64_t version() const noexcept { return version_; }

 private:
  // What links have shown of one life.
  struct IncarnationState {
    base::ProcessId process;
    base::DataCentreId data_centre;
    bool leaving = false;
  };
  struct Link {
    base::Incarnation incarnation;
    base::Millis last_received_at;
  };
  struct DialState {
    base::Millis next_at;
    base::Millis backoff;
  };

  bool IsWanted(base::Millis now, const base::ProcessId& process) const;
  bool IsRemoved(const base::Incarnation& incarnation) const;
  bool VmIsLeaving(const FleetAgent& agent) const;
  AgentView ViewOf(base::Millis now,
                   const base::Incarnation& incarnation,
                   const FleetAgent* listed) const;
  std::optional<DialTarget> AddressOf(const base::ProcessId& process) const;
  std::optional<base::DataCentreId> DataCentreOf(
      const base::ProcessId& process) const;
  bool HasLiveLink(base::Millis now, const base::ProcessId& process) const;
  bool IsLeaving(const base::ProcessId& process) const;
  void RebuildSubsets();
  void ChooseBootstrapSubset();
  void RemoveEndedIncarnations();

  MembershipSettings settings_;
  std::vector<ServiceAgents> services_;
  std::map<base::ServiceId, std::vector<base::ProcessId>> subsets_;
  std::set<base::ProcessId> subset_union_;
  FleetRecord record_;
  int64_t version_ = 0;
  std::map<base::ProcessId, platform::Vm> vms_;
  std::map<base::Incarnation, IncarnationState> incarnations_;
  std::map<link::ConnectionId, Link> links_;
  // The newest link of each process.
  std::map<base::ProcessId, link::ConnectionId> current_links_;
  std::map<base::ProcessId, DialState> dial_states_;
  std::map<base::ProcessId, base::Millis> kept_until_;
  base::Millis leases_read_at_;
  // When the lease was first found missing, of lives without a link.
  std::map<base::Incarnation, base::Millis> missing_since_;
};

}  // namespace godwit::membership

#endif  // MEMBERSHIP_MEMBERSHIP_H_
