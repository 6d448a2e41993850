#include "membership/membership.h"

#include <algorithm>
#include <utility>

#include "link/hello.h"
#include "subset.h"

namespace godwit::membership {
namespace {

// Number of agents that a router without a configuration links to.
constexpr size_t kBootstrapLinks = 3;

}  // namespace

Membership::Membership(MembershipSettings settings)
    : settings_(std::move(settings)) {}

void Membership::SetServices(std::vector<ServiceAgents> services) {
  services_ = std::move(services);
  RebuildSubsets();
}

void Membership::OnFleetRecord(base::Millis /*now*/,
                               FleetRecord record,
                               int64_t version) {
  if (version <= version_) {
    return;
  }
  version_ = version;
  record_ = std::move(record);
  for (auto it = current_links_.begin(); it != current_links_.end();) {
    const bool removed = IsRemoved(links_.at(it->second).incarnation);
    it = removed ? current_links_.erase(it) : std::next(it);
  }
  RemoveEndedIncarnations();
  RebuildSubsets();
}

void Membership::OnVmList(base::Millis /*now*/,
                          const std::vector<platform::Vm>& vms) {
  vms_.clear();
  for (const platform::Vm& vm : vms) {
    if (vm.role == "agent") {
      vms_[vm.process] = vm;
    }
  }
  RebuildSubsets();
}

void Membership::OnLinkUp(base::Millis now,
                          link::ConnectionId connection,
                          const link::Hello& peer) {
  links_[connection] = Link{peer.incarnation, now};
  IncarnationState& incarnation_state = incarnations_[peer.incarnation];
  incarnation_state.process = peer.process;
  incarnation_state.data_centre = peer.data_centre;
  incarnation_state.leaving = incarnation_state.leaving || peer.leaving;
  auto current = current_links_.find(peer.process);
  const bool newest =
      current == current_links_.end() || current->second < connection;
  if (newest && !IsRemoved(peer.incarnation)) {
    current_links_[peer.process] = connection;
    dial_states_.erase(peer.process);
    lease_missing_since_.erase(peer.incarnation);
  }
  RebuildSubsets();
}

void Membership::OnLinkDown(base::Millis /*now*/,
                            link::ConnectionId connection) {
  links_.erase(connection);
  for (auto it = current_links_.begin(); it != current_links_.end(); ++it) {
    if (it->second == connection) {
      current_links_.erase(it);
      break;
    }
  }
  RemoveEndedIncarnations();
  RebuildSubsets();
}

void Membership::OnHeartbeat(base::Millis now,
                             link::ConnectionId connection,
                             bool leaving) {
  OnMessageReceived(now, connection);
  if (leaving) {
    OnRefusedLeaving(connection);
  }
}

void Membership::OnMessageReceived(base::Millis now,
                                   link::ConnectionId connection) {
  auto link = links_.find(connection);
  if (link != links_.end()) {
    link->second.last_received_at = now;
  }
}

void Membership::OnRefusedLeaving(link::ConnectionId connection) {
  auto link = links_.find(connection);
  if (link == links_.end()) {
    return;
  }
  IncarnationState& incarnation_state = incarnations_[link->second.incarnation];
  if (!incarnation_state.leaving) {
    incarnation_state.leaving = true;
    RebuildSubsets();
  }
}

void Membership::OnLeases(base::Millis now,
                          const std::set<base::Incarnation>& live) {
  leases_read_at_ = now;
  std::map<base::Incarnation, base::Millis> lease_missing_since;
  for (const FleetAgent& agent : record_.agents()) {
    if (agent.state == AgentState::kRemoved ||
        live.count(agent.incarnation) > 0 ||
        ViewOf(now, agent.incarnation, &agent).connected) {
      continue;
    }
    auto known = lease_missing_since_.find(agent.incarnation);
    lease_missing_since[agent.incarnation] =
        known == lease_missing_since_.end() ? now : known->second;
  }
  lease_missing_since_ = std::move(lease_missing_since);
}

std::vector<AgentView> Membership::Usable(
    base::Millis now,
    const base::ServiceId& service) const {
  std::vector<AgentView> usable;
  auto subset = subsets_.find(service);
  if (subset == subsets_.end()) {
    return usable;
  }
  for (const base::ProcessId& process : subset->second) {
    auto connection = current_links_.find(process);
    if (connection == current_links_.end()) {
      continue;
    }
    const base::Incarnation& incarnation =
        links_.at(connection->second).incarnation;
    AgentView view = ViewOf(now, incarnation, record_.Find(incarnation));
    if (view.connected && !view.leaving) {
      usable.push_back(std::move(view));
    }
  }
  return usable;
}

std::vector<AgentView> Membership::Views(base::Millis now) const {
  std::vector<AgentView> views;
  for (const FleetAgent& agent : record_.agents()) {
    if (agent.state != AgentState::kRemoved) {
      views.push_back(ViewOf(now, agent.incarnation, &agent));
    }
  }
  for (const auto& [process, connection] : current_links_) {
    const base::Incarnation& incarnation = links_.at(connection).incarnation;
    if (record_.Find(incarnation) == nullptr) {
      views.push_back(ViewOf(now, incarnation, nullptr));
    }
  }
  std::sort(views.begin(), views.end(),
            [](const AgentView& a, const AgentView& b) {
              return std::tie(a.process, a.incarnation) <
                     std::tie(b.process, b.incarnation);
            });
  return views;
}

std::optional<AgentView> Membership::Find(
    base::Millis now,
    const base::Incarnation& incarnation) const {
  const FleetAgent* listed = record_.Find(incarnation);
  const bool is_live = listed != nullptr ? listed->state != AgentState::kRemoved
                                         : incarnations_.count(incarnation) > 0;
  if (!is_live) {
    return std::nullopt;
  }
  return ViewOf(now, incarnation, listed);
}

std::vector<base::ProcessId> Membership::Subset(
    const base::ServiceId& service) const {
  auto subset = subsets_.find(service);
  return subset == subsets_.end() ? std::vector<base::ProcessId>()
                                  : subset->second;
}

void Membership::KeepLinkUntil(const base::ProcessId& process,
                               base::Millis until) {
  base::Millis& kept = kept_until_[process];
  kept = std::max(kept, until);
}

std::vector<DialTarget> Membership::TakeDialTargets(base::Millis now) {
  for (auto it = kept_until_.begin(); it != kept_until_.end();) {
    it = it->second <= now ? kept_until_.erase(it) : std::next(it);
  }
  std::set<base::ProcessId> wanted = subset_union_;
  for (const auto& [process, until] : kept_until_) {
    wanted.insert(process);
  }
  std::vector<DialTarget> targets;
  for (const base::ProcessId& process : wanted) {
    std::optional<DialTarget> target = AddressOf(process);
    if (!target || HasLiveLink(now, process)) {
      continue;
    }
    auto [dial_state, first] = dial_states_.try_emplace(
        process, DialState{now, settings_.dial_backoff_min});
    if (now < dial_state->second.next_at) {
      continue;
    }
    base::Millis& backoff = dial_state->second.backoff;
    dial_state->second.next_at = now + backoff;
    backoff = std::min(backoff * 2, settings_.dial_backoff_max);
    targets.push_back(*std::move(target));
  }
  return targets;
}

std::vector<link::ConnectionId> Membership::UnwantedLinks(
    base::Millis now) const {
  std::vector<link::ConnectionId> unwanted;
  for (const auto& [connection, link] : links_) {
    const IncarnationState& incarnation_state =
        incarnations_.at(link.incarnation);
    auto current = current_links_.find(incarnation_state.process);
    const bool replaced =
        current == current_links_.end() || current->second != connection;
    const bool needed = IsWanted(now, incarnation_state.process) ||
                        IsLeaving(incarnation_state.process);
    if (replaced || !needed || IsRemoved(link.incarnation)) {
      unwanted.push_back(connection);
    }
  }
  return unwanted;
}

std::vector<base::Incarnation> Membership::Lapsed(base::Millis now) const {
  std::vector<base::Incarnation> lapsed;
  for (const auto& [incarnation, since] : lease_missing_since_) {
    const FleetAgent* listed = record_.Find(incarnation);
    const bool is_live =
        listed != nullptr && listed->state != AgentState::kRemoved;
    if (is_live && leases_read_at_ - since >= settings_.removal_timeout &&
        !ViewOf(now, incarnation, listed).connected) {
      lapsed.push_back(incarnation);
    }
  }
  return lapsed;
}

bool Membership::IsWanted(base::Millis now,
                          const base::ProcessId& process) const {
  auto kept = kept_until_.find(process);
  return subset_union_.count(process) > 0 ||
         (kept != kept_until_.end() && now < kept->second);
}

bool Membership::IsRemoved(const base::Incarnation& incarnation) const {
  const FleetAgent* listed = record_.Find(incarnation);
  return listed != nullptr && listed->state == AgentState::kRemoved;
}

bool Membership::VmIsLeaving(const FleetAgent& agent) const {
  auto vm = vms_.find(agent.process);
  return vm != vms_.end() && vm->second.leaving && vm->second.ip == agent.ip &&
         vm->second.port == agent.port;
}

AgentView Membership::ViewOf(base::Millis now,
                             const base::Incarnation& incarnation,
                             const FleetAgent* listed) const {
  AgentView view;
  view.incarnation = incarnation;
  view.joined = listed != nullptr;
  if (listed != nullptr) {
    view.process = listed->process;
    view.data_centre = listed->data_centre;
    view.leaving = listed->state != AgentState::kActive || VmIsLeaving(*listed);
  }
  auto incarnation_state = incarnations_.find(incarnation);
  if (incarnation_state == incarnations_.end()) {
    return view;
  }
  view.process = incarnation_state->second.process;
  view.data_centre = incarnation_state->second.data_centre;
  view.leaving = view.leaving || incarnation_state->second.leaving;
  auto connection = current_links_.find(view.process);
  if (connection != current_links_.end()) {
    const Link& link = links_.at(connection->second);
    if (link.incarnation == incarnation) {
      view.connection = connection->second;
      view.connected = now - link.last_received_at < settings_.link_timeout;
    }
  }
  return view;
}

std::optional<DialTarget> Membership::AddressOf(
    const base::ProcessId& process) const {
  const FleetAgent* listed = record_.FindLive(process);
  if (listed != nullptr) {
    return DialTarget{process, listed->ip, listed->port};
  }
  auto vm = vms_.find(process);
  if (vm != vms_.end()) {
    return DialTarget{process, vm->second.ip, vm->second.port};
  }
  return std::nullopt;
}

std::optional<base::DataCentreId> Membership::DataCentreOf(
    const base::ProcessId& process) const {
  const FleetAgent* listed = record_.FindLive(process);
  if (listed != nullptr) {
    return listed->data_centre;
  }
  auto connection = current_links_.find(process);
  if (connection != current_links_.end()) {
    return incarnations_.at(links_.at(connection->second).incarnation)
        .data_centre;
  }
  auto vm = vms_.find(process);
  if (vm != vms_.end()) {
    return vm->second.data_centre;
  }
  return std::nullopt;
}

bool Membership::HasLiveLink(base::Millis now,
                             const base::ProcessId& process) const {
  auto connection = current_links_.find(process);
  return connection != current_links_.end() &&
         now - links_.at(connection->second).last_received_at <
             settings_.link_timeout;
}

bool Membership::IsLeaving(const base::ProcessId& process) const {
  const FleetAgent* listed = record_.FindLive(process);
  auto connection = current_links_.find(process);
  if (connection != current_links_.end()) {
    const base::Incarnation& incarnation =
        links_.at(connection->second).incarnation;
    return ViewOf(base::Millis(), incarnation, record_.Find(incarnation))
        .leaving;
  }
  if (listed != nullptr) {
    return ViewOf(base::Millis(), listed->incarnation, listed).leaving;
  }
  auto vm = vms_.find(process);
  return vm != vms_.end() && vm->second.leaving;
}

void Membership::RebuildSubsets() {
  subsets_.clear();
  subset_union_.clear();
  for (const ServiceAgents& service : services_) {
    std::vector<SubsetMember> members;
    for (const base::ProcessId& process : service.agents) {
      std::optional<base::DataCentreId> agent_data_centre =
          DataCentreOf(process);
      if (agent_data_centre && !IsLeaving(process)) {
        members.push_back(SubsetMember{process, *std::move(agent_data_centre)});
      }
    }
    std::vector<base::ProcessId> subset =
        ChooseSubset(settings_.self, members, settings_.subset_size);
    subset_union_.insert(subset.begin(), subset.end());
    subsets_[service.service] = std::move(subset);
  }
  if (services_.empty()) {
    ChooseBootstrapSubset();
  }
}

// Without a configuration no service names its agents, but the configuration
// may have to be pulled from an agent.
void Membership::ChooseBootstrapSubset() {
  std::set<base::ProcessId> known;
  for (const FleetAgent& agent : record_.agents()) {
    known.insert(agent.process);
  }
  for (const auto& [process, vm] : vms_) {
    known.insert(process);
  }
  std::vector<SubsetMember> members;
  for (const base::ProcessId& process : known) {
    std::optional<base::DataCentreId> agent_data_centre = DataCentreOf(process);
    if (agent_data_centre && !IsLeaving(process)) {
      members.push_back(SubsetMember{process, *std::move(agent_data_centre)});
    }
  }
  const auto subset = ChooseSubset(settings_.self, members, kBootstrapLinks);
  subset_union_.insert(subset.begin(), subset.end());
}

void Membership::RemoveEndedIncarnations() {
  std::set<base::Incarnation> linked;
  for (const auto& [connection, link] : links_) {
    linked.insert(link.incarnation);
  }
  for (auto it = incarnations_.begin(); it != incarnations_.end();) {
    const FleetAgent* listed = record_.Find(it->first);
    const bool ended =
        listed == nullptr || listed->state == AgentState::kRemoved;
    const bool forget = ended && linked.count(it->first) == 0;
    it = forget ? incarnations_.erase(it) : std::next(it);
  }
}

}  // namespace godwit::membership
