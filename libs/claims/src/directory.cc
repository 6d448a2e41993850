#include "claims/directory.h"

#include <algorithm>

namespace godwit::claims {

Directory::Directory(base::Millis retention, size_t max_entries)
    : retention_(retention), max_entries_(max_entries) {}

void Directory::SetFleetVersion(int64_t version) {
  fleet_version_ = std::max(fleet_version_, version);
}

std::optional<link::KeyOwner> Directory::Register(
    base::Millis now,
    const link::RegisterKey& request) {
  Expire(now);
  link::KeyOwner answer;
  answer.key = request.key;
  answer.queried_attempt = request.attempt;
  if (request.fleet_version < fleet_version_) {
    answer.stale = true;
    answer.fleet_version = fleet_version_;
    return answer;
  }
  SetFleetVersion(request.fleet_version);
  answer.fleet_version = fleet_version_;
  const auto found = entries_.find(request.key);
  const bool is_new = found == entries_.end();
  if (is_new && entries_.size() >= max_entries_) {
    error_ = base::Error(base::ErrorKind::kOverloaded,
                         "the directory of runs is full",
                         "send the request again later");
    return std::nullopt;
  }
  Entry& entry = is_new ? entries_[request.key] : found->second;
  const bool replaced = !request.replaces.empty() && !entry.complete &&
                        entry.attempt == request.replaces;
  const bool may_have_run =
      (!is_new && entry.may_have_run) || request.may_have_run;
  if (is_new || replaced) {
    entry = Entry();
    entry.body_digest = request.body_digest;
    entry.attempt = request.attempt;
    entry.agent = request.agent;
    entry.agent_incarnation = request.agent_incarnation;
  }
  if (entry.attempt == request.attempt) {
    entry.may_have_run = may_have_run;
  }
  if (request.complete && entry.attempt == request.attempt) {
    entry.complete = true;
    entry.billed = request.billed;
  }
  Touch(now, request.key, entry);
  answer.body_digest = entry.body_digest;
  answer.attempt = entry.attempt;
  answer.agent = entry.agent;
  answer.agent_incarnation = entry.agent_incarnation;
  answer.complete = entry.complete;
  answer.billed = entry.billed;
  answer.may_have_run = entry.may_have_run;
  return answer;
}

void Directory::Touch(base::Millis now, const base::Digest& key, Entry& entry) {
  entry.used_at = now;
  use_order_.emplace_back(now, key);
}

void Directory::Expire(base::Millis now) {
  while (!use_order_.empty() && now - use_order_.front().first >= retention_) {
    const auto [used_at, key] = use_order_.front();
    use_order_.pop_front();
    const auto found = entries_.find(key);
    if (found != entries_.end() && found->second.used_at == used_at) {
      entries_.erase(found);
    }
  }
}

}  // namespace godwit::claims
