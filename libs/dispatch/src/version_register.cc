#include "dispatch/version_register.h"

#include <algorithm>
#include <iterator>
#include <set>
#include <string>
#include <utility>

#include "base/digest.h"
#include "cas/progress.h"
#include "dispatch/fleet_members.h"

namespace godwit::dispatch {
namespace {

constexpr base::Millis kOperationTimeout(2'000);
constexpr base::Millis kRetryInterval(600);
// A router of rank r leaves an addition to others for r times this, longer than
// a write and its notice take.
constexpr base::Millis kAdditionDelay(100);
// Nothing depends on when a version that has left is removed.
constexpr base::Millis kRemovalDelay(5'000);

// Number of members that are preferred to this one as writers.
int64_t RankOf(const FleetMembers& members) {
  const auto weight = [](const base::ProcessId& process) {
    return base::Digest::Of(process.value()).low();
  };
  const uint64_t own = weight(members.self());
  return std::count_if(
      members.members().begin(), members.members().end(),
      [&](const auto& member) { return weight(member.first) < own; });
}

// True if every version of `part` is in `whole`.
bool Includes(const VersionsByService& whole, const VersionsByService& part) {
  return std::all_of(part.begin(), part.end(), [&whole](const auto& entry) {
    const auto found = whole.find(entry.first);
    return found != whole.end() &&
           std::includes(found->second.begin(), found->second.end(),
                         entry.second.begin(), entry.second.end());
  });
}

}  // namespace

VersionRegister::VersionRegister(const FleetMembers& members)
    : members_(members), view_(kKey) {}

void VersionRegister::SetEra(int64_t era) {
  needs_read_ = needs_read_ || era != era_;
  era_ = era;
}

bool VersionRegister::is_complete() const {
  return !needs_read_ && stored_.era == era_;
}

StoredVersions VersionRegister::WantedList(const Known& known) const {
  StoredVersions wanted = stored_;
  if (!view_.version().exists() || (known.is_all && stored_.era != era_)) {
    return {era_, known.recent};
  }
  if (known.is_all) {
    // Versions expire at routers at different times. What another one has
    // removed is not added again.
    for (auto service = wanted.services.begin();
         service != wanted.services.end();) {
      const auto recent = known.recent.find(service->first);
      std::set<std::string> kept;
      if (recent != known.recent.end()) {
        std::set_intersection(service->second.begin(), service->second.end(),
                              recent->second.begin(), recent->second.end(),
                              std::inserter(kept, kept.end()));
      }
      service->second = std::move(kept);
      service = service->second.empty() ? wanted.services.erase(service)
                                        : std::next(service);
    }
  }
  for (const auto& [service, versions] : known.current) {
    wanted.services[service].insert(versions.begin(), versions.end());
  }
  return wanted;
}

base::Millis VersionRegister::Delay(const StoredVersions& wanted) const {
  const bool is_removal =
      wanted.era == stored_.era && Includes(stored_.services, wanted.services);
  return (is_removal ? kRemovalDelay : kAdditionDelay) * RankOf(members_);
}

std::optional<VersionRegister::Operation> VersionRegister::Next(
    base::Millis now,
    const Known& known) {
  if (const auto busy = view_.busy_since()) {
    if (now - *busy < kOperationTimeout) {
      return std::nullopt;
    }
    view_.Abandon();
  }
  if (now < retry_at_) {
    return std::nullopt;
  }
  if (!view_.known() || view_.outdated() || needs_read_ ||
      read_requested_at_ > read_at_) {
    read_started_at_ = now;
    return view_.StartRead(now, next_operation_--);
  }
  StoredVersions wanted = WantedList(known);
  // What an unreadable list said is unknown until this router knows all.
  if (wanted == stored_ || wanted.era < 0 || members_.members().empty()) {
    differs_since_.reset();
    return std::nullopt;
  }
  if (!differs_since_) {
    differs_since_ = now;
  }
  if (now - *differs_since_ < Delay(wanted)) {
    return std::nullopt;
  }
  return view_.StartWrite(now, next_operation_--, std::move(wanted));
}

template <typename Done>
VersionRegister::Result VersionRegister::Handle(base::Millis now,
                                                const Done& done) {
  const bool was_write = view_.is_writing();
  const cas::Progress progress = view_.Finish(done);
  if (progress == cas::Progress::kUnrelated) {
    return Result::kUnrelated;
  }
  if (progress == cas::Progress::kFailed) {
    retry_at_ = now + kRetryInterval;
    return Result::kNone;
  }
  if (view_.outdated()) {
    return Result::kNone;
  }
  if (!was_write) {
    read_at_ = read_started_at_;
  }
  stored_ = view_.record();
  differs_since_.reset();
  needs_read_ = needs_read_ && was_write;
  return was_write && progress == cas::Progress::kAdopted ? Result::kWritten
                                                          : Result::kRead;
}

VersionRegister::Result VersionRegister::Finish(
    base::Millis now,
    const platform::KvReadDone& done) {
  return Handle(now, done);
}

VersionRegister::Result VersionRegister::Finish(
    base::Millis now,
    const platform::KvWriteDone& done) {
  return Handle(now, done);
}

void VersionRegister::OnNotice(const StoredVersions& stored) {
  if (!needs_read_ && stored.era == era_) {
    stored_ = stored;
    differs_since_.reset();
  }
}

}  // namespace godwit::dispatch
