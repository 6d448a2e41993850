#include "dispatch/cold_periods.h"

#include <algorithm>
#include <iterator>
#include <utility>

#include "dispatch/routing_table.h"

namespace godwit::dispatch {
namespace {

// A registration may be read this long after it was written. Until then, it may
// be older than a statement in an answer.
constexpr base::Millis kRegistrationLag(2000);
// Longer than registrations are missing during outages of the store.
constexpr base::Millis kRetention(600'000);

}  // namespace

void ColdPeriods::SetConfiguration(std::shared_ptr<const RoutingTable> table) {
  table_ = std::move(table);
}

std::vector<Backend> ColdPeriods::OnListed(
    base::Millis now,
    const std::vector<Backend>& backends) {
  std::vector<Backend> unreadable;
  for (const Backend& backend : backends) {
    if (Apply(now, backend, !was_listed_)) {
      unreadable.push_back(backend);
    }
  }
  was_listed_ = true;
  return unreadable;
}

bool ColdPeriods::OnRegistered(base::Millis now, const Backend& backend) {
  return Apply(now, backend, false);
}

bool ColdPeriods::Apply(base::Millis now,
                        const Backend& backend,
                        bool is_first_list) {
  const auto [entry, is_new] = incarnations_.try_emplace(backend.key());
  Incarnation& incarnation = entry->second;
  incarnation.last_registered_at = now;
  if (is_new) {
    incarnation.first_registered_at = now;
    incarnation.was_in_first_list = is_first_list;
  }
  if (backend.cold_remaining) {
    const base::Millis until = now + *backend.cold_remaining;
    const bool may_be_older =
        incarnation.answer_stated_at &&
        now - *incarnation.answer_stated_at < kRegistrationLag;
    incarnation.stated_until =
        may_be_older ? std::max(until, incarnation.stated_until.value_or(until))
                     : until;
    incarnation.resumed_at.reset();
  }
  return backend.has_invalid_cold_remaining &&
         !std::exchange(incarnation.has_unreadable_statement, true);
}

bool ColdPeriods::OnAnswer(base::Millis now,
                           const Backend& backend,
                           const Reply& reply) {
  const auto found = incarnations_.find(backend.key());
  if (found == incarnations_.end()) {
    return false;
  }
  Incarnation& incarnation = found->second;
  if (reply.cold_remaining) {
    const base::Millis until = now + *reply.cold_remaining;
    // An unsigned answer may not be the server's.
    if (reply.is_signed || until > incarnation.stated_until.value_or(now)) {
      incarnation.stated_until = until;
      incarnation.answer_stated_at = now;
    }
  }
  return reply.has_invalid_cold_remaining &&
         !std::exchange(incarnation.has_unreadable_statement, true);
}

void ColdPeriods::OnResumed(base::Millis now, const Backend& backend) {
  const auto found = incarnations_.find(backend.key());
  if (found != incarnations_.end()) {
    found->second.resumed_at = now;
  }
}

void ColdPeriods::Retain(base::Millis now, const std::set<std::string>& keys) {
  for (auto entry = incarnations_.begin(); entry != incarnations_.end();) {
    if (keys.count(entry->first) > 0) {
      entry->second.last_registered_at = now;
    }
    entry = now - entry->second.last_registered_at >= kRetention
                ? incarnations_.erase(entry)
                : std::next(entry);
  }
}

std::optional<ColdLimit> ColdPeriods::LimitOf(base::Millis now,
                                              const Backend& backend) const {
  const ServiceProfile* const service =
      table_ == nullptr ? nullptr : table_->Find(backend.service);
  const auto found = incarnations_.find(backend.key());
  if (service == nullptr || service->cold_start <= base::Millis() ||
      found == incarnations_.end()) {
    return std::nullopt;
  }
  const Incarnation& incarnation = found->second;
  base::Millis until;
  if (incarnation.stated_until) {
    until = *incarnation.stated_until;
  } else if (!incarnation.was_in_first_list) {
    until = incarnation.first_registered_at + service->cold_start;
  }
  if (incarnation.resumed_at) {
    until = std::max(until, *incarnation.resumed_at + service->cold_start);
  }
  return until <= now
             ? std::nullopt
             : std::make_optional(ColdLimit{service->cold_rate, until});
}

}  // namespace godwit::dispatch
