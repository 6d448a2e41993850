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
// Bounds the memory; at 4,400 streams a second, 30 routers keep 440 a second
// each.
constexpr size_t kMaxRecords = 16'384;
constexpr size_t kKeepers = 2;

}  // namespace

StreamOrigins::StreamOrigins(const FleetMembers& members) : members_(members) {}

std::set<std::string> StreamOrigins::RecentVersions(
    base::Millis now,
    const ServiceVersions& versions) {
  std::set<std::string> recent;
  for (const auto& [version, last_registered_at] :
       versions.last_registered_at) {
    if (now - last_registered_at < kRetention) {
      recent.insert(version);
    }
  }
  return recent;
}

bool StreamOrigins::OnRegistered(base::Millis now, const Backend& backend) {
  const auto [entry, is_new] = services_.try_emplace(backend.service);
  ServiceVersions& versions = entry->second;
  if (is_new) {
    versions.first_listed_at = now;
  }
  auto& registered = versions.last_registered_at;
  for (auto version = registered.begin(); version != registered.end();) {
    version = now - version->second >= kRetention ? registered.erase(version)
                                                  : std::next(version);
  }
  const bool had_several = registered.size() > 1;
  registered[backend.software_version] = now;
  return !had_several && registered.size() > 1;
}

bool StreamOrigins::HasSeveralVersions(base::Millis now,
                                       const base::ServiceId& service) const {
  const auto found = services_.find(service);
  return found != services_.end() &&
         RecentVersions(now, found->second).size() > 1;
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
  if (versions_by_request_.try_emplace(request_id, software_version).second) {
    expiries_.emplace_back(now + kRetention, request_id);
  }
  Expire(now);
}

StreamOrigin StreamOrigins::Find(base::Millis now,
                                 const base::ServiceId& service,
                                 const std::string& request_id) const {
  const auto record = versions_by_request_.find(request_id);
  if (record != versions_by_request_.end()) {
    return {StreamOrigin::Certainty::kRecorded, record->second};
  }
  const auto found = services_.find(service);
  if (found == services_.end()) {
    return {};
  }
  const auto recent = RecentVersions(now, found->second);
  if (recent.size() != 1) {
    return {recent.empty() ? StreamOrigin::Certainty::kUnknown
                           : StreamOrigin::Certainty::kSeveralSeen,
            ""};
  }
  const bool is_long_known = now - found->second.first_listed_at >= kRetention;
  return {is_long_known ? StreamOrigin::Certainty::kOnlyOneServed
                        : StreamOrigin::Certainty::kOnlyOneSeen,
          *recent.begin()};
}

std::vector<base::Endpoint> StreamOrigins::KeepersOf(
    const std::string& request_id) const {
  std::vector<std::pair<uint64_t, base::Endpoint>> ranked;
  for (const auto& [process, address] : members_.members()) {
    if (process != members_.self()) {
      ranked.emplace_back(
          base::Digest::Of(request_id + "/" + process.value()).low(), address);
    }
  }
  const size_t count = std::min(kKeepers, ranked.size());
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
