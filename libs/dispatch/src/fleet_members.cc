#include "dispatch/fleet_members.h"

#include <utility>

namespace godwit::dispatch {
namespace {

// Covers the renewal period of a lease, after which a router notices that its
// entry is lost, and the time until the new entry is read.
constexpr base::Millis kRegistrationTime(15'000);
// A router that could not renew its lease for longer is no member to others.
constexpr base::Millis kListLifetime(30'000);
// Routers register when they start, and a list may be read up to two periods of
// two seconds after it was requested.
constexpr base::Millis kStartTime(4000);

}  // namespace

FleetMembers::FleetMembers(base::ProcessId self) : self_(std::move(self)) {}

void FleetMembers::SetListed(base::Millis now,
                             const std::vector<ledger::Peer>& listed) {
  if (!first_listed_at_ || now - last_listed_at_ >= kListLifetime) {
    first_listed_at_ = now;
  }
  last_listed_at_ = now;
  std::map<base::ProcessId, base::Endpoint> members;
  for (const ledger::Peer& peer : listed) {
    members[peer.process] = peer.address;
    missing_since_.erase(peer.process);
  }
  for (const auto& [process, address] : members_) {
    if (members.count(process) > 0) {
      continue;
    }
    const base::Millis since =
        missing_since_.try_emplace(process, now).first->second;
    if (now - since < kRegistrationTime) {
      members[process] = address;
    } else {
      missing_since_.erase(process);
    }
  }
  members_ = std::move(members);
}

bool FleetMembers::is_settled(base::Millis now) const {
  return first_listed_at_ && now - *first_listed_at_ >= kRegistrationTime &&
         now - last_listed_at_ < kListLifetime;
}

bool FleetMembers::has_started() const {
  return first_listed_at_ && last_listed_at_ - *first_listed_at_ >= kStartTime;
}

}  // namespace godwit::dispatch
