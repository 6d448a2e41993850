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

// A router's view of the agents: the platform's VM list, which lags, and the
// fleet record, corrected by the state of the links. `now` is any monotonic
// clock of the router. Not thread-safe.
class Membership {
 public:
  explicit Membership(MembershipSettings settings);

  // Sets the services of the configuration in force, replacing earlier ones.
  // Before the first call a few agents are dialled, from which the
  // configuration can be pulled.
  void SetServices(std::vector<ServiceAgents> services);

  // Handles a version of the fleet record that was read. Versions that are not
  // newer than the current one are ignored.
  void OnFleetRecord(base::Millis now, FleetRecord record, int64_t version);
  // Handles a VM list that was read. Only agents are used. A leaving VM applies
  // to the incarnation that the fleet record lists at its address, because the
  // list may still name the VM of an earlier incarnation.
  void OnVmList(base::Millis now, const std::vector<platform::Vm>& vms);
  // Handles a new link to an agent. If a process has several links, the one
  // dialled last is used, which has the highest id. Links to an incarnation
  // that the fleet record lists as removed are never used.
  void OnLinkUp(base::Millis now,
                link::ConnectionId connection,
                const link::Hello& peer);
  // Links that were never up or are already down may be passed.
  void OnLinkDown(base::Millis now, link::ConnectionId connection);
  // Handles a heartbeat. `leaving` is the state that it reports; once true for
  // an incarnation, it stays true.
  void OnHeartbeat(base::Millis now,
                   link::ConnectionId connection,
                   bool leaving);
  // Handles any other message received on the link.
  void OnMessageReceived(base::Millis now, link::ConnectionId connection);
  // Handles the refusal of a start by an agent because it is leaving.
  void OnRefusedLeaving(link::ConnectionId connection);
  // Handles the complete set of lease keys `agents/INCARNATION` in the KV. Must
  // not be called if the KV could not be read.
  void OnLeases(base::Millis now, const std::set<base::Incarnation>& live);

  // Returns the agents of the service that may be given new work: connected,
  // not leaving and not removed.
  std::vector<AgentView> Usable(base::Millis now,
                                const base::ServiceId& service) const;
  // Returns every known incarnation that is not removed, sorted by process and
  // incarnation.
  std::vector<AgentView> Views(base::Millis now) const;
  // Returns the view of one incarnation, or std::nullopt if it is unknown or
  // removed.
  std::optional<AgentView> Find(base::Millis now,
                                const base::Incarnation& incarnation) const;

  // Returns the agents that the router links to for the service: at most
  // subset_size processes, balanced over the data centres, chosen by rendezvous
  // hashing of router and agent.
  std::vector<base::ProcessId> Subset(const base::ServiceId& service) const;

  // Keeps a link to an agent outside the subsets until `until`, for the request
  // directory or a recovery.
  void KeepLinkUntil(const base::ProcessId& process, base::Millis until);
  // Returns the agents to dial and records that they were dialled: later calls
  // return them again only after a backoff, and only while no link is up.
  std::vector<DialTarget> TakeDialTargets(base::Millis now);
  // Returns the links that are no longer needed: replaced by a newer link, to a
  // removed incarnation, or to a process that is in no subset, not kept by
  // KeepLink() and not leaving. Each must be closed only once it carries no
  // run.
  std::vector<link::ConnectionId> UnwantedLinks(base::Millis now) const;

  // Returns the incarnations in the record that lapsed: without link and lease
  // for removal_timeout. The caller submits MarkRemoved for each.
  std::vector<base::Incarnation> Lapsed(base::Millis now) const;

  const FleetRecord& record() const noexcept { return record_; }
  int64_t version() const noexcept { return version_; }

 private:
  // What the links have reported about one incarnation.
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
  // Time at which the lease was first found missing, for incarnations without a
  // link.
  std::map<base::Incarnation, base::Millis> lease_missing_since_;
};

}  // namespace godwit::membership

#endif  // MEMBERSHIP_MEMBERSHIP_H_
