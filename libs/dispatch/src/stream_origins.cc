#include "dispatch/stream_origins.h"

#include <algorithm>
#include <cstdint>
#include <iterator>

#include "base/digest.h"
#include "dispatch/fleet_members.h"

namespace godwit::dispatch {
namespace {

// Above the longest time from the start of a stream, or the removal of a server
// that still serves it, until its caller takes it up again.
constexpr base::Millis kRetention(30'000);
// Registered servers are noted about every second.
constexpr base::Millis kRegistrationPeriod(3'000);
// Bounds the memory; at 4,400 streams a second, 30 routers keep 440 a second
// each.
constexpr size_t kMaxRecords = 16'384;
constexpr size_t kKeepers = 2;

}  // namespace

StreamOrigins::StreamOrigins(const FleetMembers& members) : members_(members) {}

std::set<std::string> StreamOrigins::RegisteredWithin(
    base::Millis now,
    base::Millis span,
    const LastRegistered& registered) {
  std::set<std::string> versions;
  for (const auto& [version, last_registered_at] : registered) {
    if (now - last_registered_at < span) {
      versions.insert(version);
    }
  }
  return versions;
}

bool StreamOrigins::OnRegistered(base::Millis now, const Backend& backend) {
  first_listed_at_ = first_listed_at_.value_or(now);
  LastRegistered& registered = services_[backend.service];
  for (auto version = registered.begin(); version != registered.end();) {
    version = now - version->second >= kRetention ? registered.erase(version)
                                                  : std::next(version);
  }
  const bool had_several = registered.size() > 1;
  registered[backend.software_version] = now;
  return !had_several && registered.size() > 1;
}

void StreamOrigins::OnStored(base::Millis now,
                             const VersionsByService& versions,
                             bool is_complete) {
  for (const auto& [service, names] : versions) {
    for (const std::string& name : names) {
      services_[service].try_emplace(name, now);
    }
  }
  knows_earlier_ = knows_earlier_ || is_complete;
}

VersionsByService StreamOrigins::RegisteredWithin(base::Millis now,
                                                  base::Millis span) const {
  VersionsByService services;
  for (const auto& [service, registered] : services_) {
    auto versions = RegisteredWithin(now, span, registered);
    if (!versions.empty()) {
      services[service] = std::move(versions);
    }
  }
  return services;
}

VersionRegister::Known StreamOrigins::Known(base::Millis now) const {
  return {RegisteredWithin(now, kRegistrationPeriod),
          RegisteredWithin(now, kRetention), KnowsAll(now)};
}

bool StreamOrigins::KnowsAll(base::Millis now) const {
  return knows_earlier_ ||
         (first_listed_at_ && now - *first_listed_at_ >= kRetention);
}

bool StreamOrigins::HasSeveralVersions(base::Millis now,
                                       const base::ServiceId& service) const {
  const auto found = services_.find(service);
  return found != services_.end() &&
         RegisteredWithin(now, kRetention, found->second).size() > 1;
}

void StreamOrigins::Expire(base::Millis now) {
  while (!expiries_.empty() &&
         (expiries_.front().first <= now || expiries_.size() > kMaxRecords)) {
    versions_by_request_.erase(expiries_.front().second);
    expiries_.pop_front();
  }
}

void StreamOrigins::Record(base::Millis now,
                           const std::string& request_id,
                           const std::string& software_version) {
  // The first record stays: what a stream began with does not change.
  const base::Digest key = base::Digest::Of(request_id);
  if (versions_by_request_.try_emplace(key, software_version).second) {
    expiries_.emplace_back(now + kRetention, key);
  }
  Expire(now);
}

StreamOrigin StreamOrigins::Find(base::Millis now,
                                 const base::ServiceId& service,
                                 const std::string& request_id) const {
  const auto record = versions_by_request_.find(base::Digest::Of(request_id));
  if (record != versions_by_request_.end()) {
    return {StreamOrigin::Certainty::kRecorded, record->second};
  }
  const auto found = services_.find(service);
  if (found == services_.end()) {
    return {};
  }
  const auto recent = RegisteredWithin(now, kRetention, found->second);
  if (recent.size() != 1) {
    return {recent.empty() ? StreamOrigin::Certainty::kUnknown
                           : StreamOrigin::Certainty::kSeveralSeen,
            ""};
  }
  if (!KnowsAll(now)) {
    return {StreamOrigin::Certainty::kOnlyOneSeen, *recent.begin()};
  }
  return {is_following_ ? StreamOrigin::Certainty::kOnlyOneServed
                        : StreamOrigin::Certainty::kOnlyOneUnconfirmed,
          *recent.begin()};
}

std::vector<base::Endpoint> StreamOrigins::KeepersOf(
    const std::string& request_id) const {
  return RankedFirst(request_id, kKeepers);
}

std::vector<base::Endpoint> StreamOrigins::PossibleKeepersOf(
    const std::string& request_id) const {
  return RankedFirst(request_id, kKeepers + 1);
}

std::vector<base::Endpoint> StreamOrigins::RankedFirst(
    const std::string& request_id,
    size_t count) const {
  std::vector<std::pair<uint64_t, base::Endpoint>> ranked;
  for (const auto& [process, address] : members_.members()) {
    if (process != members_.self()) {
      ranked.emplace_back(
          base::Digest::Of(request_id + "/" + process.value()).low(), address);
    }
  }
  count = std::min(count, ranked.size());
  std::partial_sort(
      ranked.begin(), ranked.begin() + static_cast<ptrdiff_t>(count),
      ranked.end(),
      [](const auto& a, const auto& b) { return a.first > b.first; });
  std::vector<base::Endpoint> keepers;
  for (size_t i = 0; i < count; ++i) {
    keepers.push_back(ranked[i].second);
  }
  return keepers;
}

}  // namespace godwit::dispatch
