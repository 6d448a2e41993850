#include "dispatch/request_limits.h"

#include <algorithm>
#include <array>
#include <cmath>
#include <cstdint>

#include "base/digest.h"
#include "dispatch/fleet_members.h"

namespace godwit::dispatch {
namespace {

// Requests a second of a limit for each router that sends to the server. With
// few senders, those that change with the list of routers exceed the limit by
// little while lists differ.
constexpr double kRatePerSender = 1;
// Shares of a limit that the senders use, and that the other routers use to
// find out whether the limit still holds.
constexpr double kSenderShare = 0.95;
constexpr double kRecheckShare = 0.05;
// A limit below this is rechecked as if it were this, in requests a second.
constexpr double kMinRecheckedRate = 0.1;
// Longest time between two requests of the first sender, which finds out when a
// limit of zero ends.
constexpr base::Millis kMaxFirstSenderInterval(10'000);
// How early a request may be sent, so that a router that had none in time still
// uses its share: a part of the interval, and at least the time between ticks.
constexpr int64_t kToleranceDivisor = 2;
constexpr base::Millis kMinTolerance(50);
constexpr double kMillisPerSecond = 1000;
// Longer than any process runs.
constexpr double kMaxIntervalMs = 1e12;
// Other routers are notified of a change by this factor.
constexpr double kNotableChange = 1.25;
// Least time between two notices of one server, and the times of the notices of
// the end of a limit, since datagrams may be lost.
constexpr base::Millis kMinNoticeInterval(500);
constexpr std::array<base::Millis, 3> kEndNoticeDelays = {
    base::Millis(0), base::Millis(1000), base::Millis(4000)};
// 2 to the power of 64, the number of hashes.
constexpr double kHashes = 18446744073709551616.0;

bool IsNotable(double rate, double announced) {
  return rate != announced && std::max(rate, announced) >=
                                  kNotableChange * std::min(rate, announced);
}

}  // namespace

RequestLimits::RequestLimits(const FleetMembers& members) : members_(members) {}

size_t RequestLimits::RankOf(const std::string& key) const {
  const auto weight_of = [&key](const base::ProcessId& process) {
    return base::Digest::Of(key + "/" + process.value()).low();
  };
  const uint64_t own = weight_of(members_.self());
  size_t rank = 0;
  for (const auto& [process, address] : members_.members()) {
    rank += weight_of(process) > own ? 1 : 0;
  }
  return rank;
}

double RequestLimits::PhaseOf(const std::string& key) const {
  return static_cast<double>(
             base::Digest::Of(members_.self().value() + "/" + key).high()) /
         kHashes;
}

base::Millis RequestLimits::IntervalOf(base::Millis now,
                                       const Limit& limit) const {
  const double routers =
      std::max<double>(1, static_cast<double>(members_.members().size()));
  const double senders =
      std::clamp(std::round(limit.rate / kRatePerSender), 1.0, routers);
  const bool is_sender =
      members_.is_settled(now) && static_cast<double>(limit.rank) < senders;
  const double share =
      is_sender
          ? kSenderShare * limit.rate / senders
          : kRecheckShare * std::max(limit.rate, kMinRecheckedRate) / routers;
  const double interval_ms =
      std::ceil(std::min(kMaxIntervalMs, kMillisPerSecond / share));
  const base::Millis interval(static_cast<int64_t>(interval_ms));
  return is_sender && limit.rank == 0
             ? std::min(interval, kMaxFirstSenderInterval)
             : interval;
}

void RequestLimits::Reschedule(base::Millis now,
                               const std::string& key,
                               Limit& limit) {
  const base::Millis interval = IntervalOf(now, limit);
  if (interval == limit.interval) {
    return;
  }
  // Routers that learn of a change at the same time must not all send at the
  // same time.
  const base::Millis first =
      now + base::Millis(static_cast<int64_t>(
                PhaseOf(key) * static_cast<double>(interval.count())));
  limit.next_send_at = interval < limit.interval
                           ? std::min(limit.next_send_at, first)
                           : std::max(limit.next_send_at, first);
  limit.interval = interval;
}

void RequestLimits::OnRoutersListed(base::Millis now) {
  for (auto& [key, limit] : limits_) {
    limit.rank = RankOf(key);
    Reschedule(now, key, limit);
  }
  for (auto& [key, cold] : cold_) {
    cold.rank = RankOf(key);
    ApportionCold(now, key, cold);
  }
}

BackendLimitChanged RequestLimits::Update(base::Millis now,
                                          base::Millis observed_at,
                                          const Backend& backend,
                                          std::optional<double> rate) {
  const std::string key = backend.key();
  BackendLimitChanged change;
  change.instance = backend.instance;
  change.service = backend.service;
  change.limit = rate;
  const auto found = limits_.find(key);
  if (found != limits_.end()) {
    change.previous = found->second.rate;
    change.previous_age = now - found->second.confirmed_at;
  }
  if (!rate) {
    limits_.erase(key);
    return change;
  }
  const auto [entry, is_new] = limits_.try_emplace(key);
  Limit& limit = entry->second;
  limit.rate = *rate;
  limit.confirmed_at = observed_at;
  if (is_new) {
    limit.rank = RankOf(key);
  }
  Reschedule(now, key, limit);
  return change;
}

void RequestLimits::Announce(base::Millis now,
                             const std::string& key,
                             std::optional<double> rate) {
  const auto [entry, is_new] = announcements_.try_emplace(key);
  Announcement& announcement = entry->second;
  announcement.due_at = is_new ? now : std::max(now, announcement.due_at);
  announcement.rate = rate;
  announcement.observed_at = now;
  announcement.sent = 0;
}

std::optional<BackendLimitChanged> RequestLimits::OnAnswer(
    base::Millis now,
    base::Millis sent_at,
    const Backend& backend,
    const Reply& reply) {
  if (reply.instance_mismatch) {
    return std::nullopt;
  }
  const std::string key = backend.key();
  const auto found = limits_.find(key);
  if (!reply.request_limit && reply.has_invalid_limit) {
    // It says neither that there is no limit nor which one there is.
    if (!unreadable_.insert(key).second) {
      return std::nullopt;
    }
    BackendLimitChanged change;
    change.instance = backend.instance;
    change.service = backend.service;
    change.is_unreadable = true;
    if (found != limits_.end()) {
      change.limit = found->second.rate;
      change.previous = found->second.rate;
    }
    return change;
  }
  if (!reply.request_limit && (found == limits_.end() || !reply.is_signed ||
                               sent_at <= found->second.confirmed_at)) {
    // The answer may have been made before the server stated its limit.
    return std::nullopt;
  }
  const bool is_new = found == limits_.end();
  const double announced = is_new ? 0 : found->second.announced;
  const BackendLimitChanged change =
      Update(now, now, backend, reply.request_limit);
  if (is_new || !reply.request_limit ||
      IsNotable(*reply.request_limit, announced)) {
    Announce(now, key, reply.request_limit);
    if (reply.request_limit) {
      limits_[key].announced = *reply.request_limit;
    }
  }
  return change.limit == change.previous ? std::nullopt
                                         : std::make_optional(change);
}

std::optional<BackendLimitChanged> RequestLimits::OnNotice(
    base::Millis now,
    const Backend& backend,
    const LimitNotice& notice) {
  const base::Millis observed_at = now - notice.age;
  const auto found = limits_.find(notice.backend);
  if (found == limits_.end() ? !notice.limit.has_value()
                             : observed_at <= found->second.confirmed_at) {
    return std::nullopt;
  }
  const BackendLimitChanged change =
      Update(now, observed_at, backend, notice.limit);
  // What this router would still announce is older.
  announcements_.erase(notice.backend);
  if (notice.limit) {
    limits_[notice.backend].announced = *notice.limit;
  }
  return change.limit == change.previous ? std::nullopt
                                         : std::make_optional(change);
}

void RequestLimits::Retain(const std::set<std::string>& keys) {
  const auto retain = [&keys](auto& entries) {
    for (auto entry = entries.begin(); entry != entries.end();) {
      entry = keys.count(entry->first) == 0 ? entries.erase(entry) : ++entry;
    }
  };
  retain(limits_);
  retain(cold_);
  retain(announcements_);
  for (auto key = unreadable_.begin(); key != unreadable_.end();) {
    key = keys.count(*key) == 0 ? unreadable_.erase(key) : ++key;
  }
}

base::Millis RequestLimits::ToleranceOf(const Limit& limit) {
  return std::max(kMinTolerance,
                  base::Millis(limit.interval.count() / kToleranceDivisor));
}

bool RequestLimits::MaySend(base::Millis now, const Backend& backend) const {
  const std::string key = backend.key();
  const auto cold = cold_.find(key);
  if (cold != cold_.end() && now < cold->second.limit.until &&
      !cold->second.window.MaySend(now)) {
    return false;
  }
  const auto found = limits_.find(key);
  return found == limits_.end() ||
         now + ToleranceOf(found->second) >= found->second.next_send_at;
}

void RequestLimits::OnSent(base::Millis now, const Backend& backend) {
  if (empty()) {
    return;
  }
  const std::string key = backend.key();
  const auto cold = cold_.find(key);
  if (cold != cold_.end()) {
    cold->second.window.OnSent(now);
  }
  const auto found = limits_.find(key);
  if (found != limits_.end()) {
    Limit& limit = found->second;
    limit.next_send_at = std::max(limit.next_send_at, now) + limit.interval;
  }
}

std::optional<double> RequestLimits::SendRate(const Backend& backend) const {
  const std::string key = backend.key();
  std::optional<double> rate;
  const auto cold = cold_.find(key);
  if (cold != cold_.end()) {
    rate = cold->second.window.rate();
  }
  const auto found = limits_.find(key);
  if (found != limits_.end()) {
    const double stated =
        kMillisPerSecond / static_cast<double>(std::max<int64_t>(
                               1, found->second.interval.count()));
    rate = std::min(stated, rate.value_or(stated));
  }
  return rate;
}

std::vector<LimitNotice> RequestLimits::Tick(base::Millis now) {
  if (members_.is_settled(now) != was_settled_) {
    was_settled_ = !was_settled_;
    for (auto& [key, limit] : limits_) {
      Reschedule(now, key, limit);
    }
    for (auto& [key, cold] : cold_) {
      ApportionCold(now, key, cold);
    }
  }
  return TakeNotices(now);
}

std::vector<LimitNotice> RequestLimits::TakeNotices(base::Millis now) {
  std::vector<LimitNotice> notices;
  for (auto entry = announcements_.begin(); entry != announcements_.end();) {
    Announcement& announcement = entry->second;
    if (now < announcement.due_at) {
      ++entry;
      continue;
    }
    const size_t repeats = announcement.rate ? 1 : kEndNoticeDelays.size();
    if (announcement.sent == repeats) {
      // Kept until then for the least time between two notices.
      entry = announcements_.erase(entry);
      continue;
    }
    notices.push_back(
        {entry->first, announcement.rate, now - announcement.observed_at});
    ++announcement.sent;
    announcement.due_at =
        announcement.sent == repeats
            ? now + kMinNoticeInterval
            : announcement.observed_at + kEndNoticeDelays[announcement.sent];
    ++entry;
  }
  return notices;
}

}  // namespace godwit::dispatch
