#include "dispatch/backend_backoff.h"

namespace godwit::dispatch {

bool BackendBackoff::OnAnswer(base::Millis now,
                              const Backend& backend,
                              const Reply& reply) {
  if (!reply.retry_after || *reply.retry_after <= base::Millis()) {
    return false;
  }
  base::Millis& until = until_[backend.key()];
  // Of answers that overtake each other, the longest time counts.
  if (now + *reply.retry_after <= until) {
    return false;
  }
  until = now + *reply.retry_after;
  return true;
}

void BackendBackoff::Retain(const std::set<std::string>& keys) {
  for (auto entry = until_.begin(); entry != until_.end();) {
    entry = keys.count(entry->first) == 0 ? until_.erase(entry) : ++entry;
  }
}

base::Millis BackendBackoff::OpensAt(const Backend& backend) const {
  const auto found = until_.find(backend.key());
  return found == until_.end() ? base::Millis() : found->second;
}

void BackendBackoff::Tick(base::Millis now) {
  for (auto entry = until_.begin(); entry != until_.end();) {
    entry = entry->second <= now ? until_.erase(entry) : ++entry;
  }
}

}  // namespace godwit::dispatch
