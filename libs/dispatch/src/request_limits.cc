#include "dispatch/request_limits.h"

namespace godwit::dispatch {

std::optional<BackendLimitChanged> RequestLimits::OnAnswer(
    base::Millis now,
    base::Millis sent_at,
    const Backend& backend,
    const Reply& reply) {
  if (reply.instance_mismatch) {
    return std::nullopt;
  }
  const auto found = limits_.find(backend.key());
  BackendLimitChanged change;
  change.instance = backend.instance;
  change.service = backend.service;
  change.limit = reply.request_limit;
  if (found != limits_.end()) {
    change.previous = found->second.rate;
    change.previous_age = now - found->second.confirmed_at;
  }
  if (!reply.request_limit && reply.has_invalid_limit) {
    // It says neither that there is no limit nor which one there is.
    change.limit = change.previous;
    change.is_unreadable = true;
    return unreadable_.insert(backend.key()).second ? std::make_optional(change)
                                                    : std::nullopt;
  }
  if (reply.request_limit) {
    limits_[backend.key()] = {*reply.request_limit, now};
  } else if (found == limits_.end() || !reply.is_signed ||
             sent_at <= found->second.confirmed_at) {
    // The answer may have been made before the server stated its limit.
    return std::nullopt;
  } else {
    limits_.erase(found);
  }
  return change.limit == change.previous ? std::nullopt
                                         : std::make_optional(change);
}

}  // namespace godwit::dispatch
