#include "platform/prefix_watcher.h"

#include <algorithm>
#include <utility>

namespace godwit::platform {
namespace {

// Delay before a retry, from the second failure in a row on, doubled for each
// further one up to the maximum. The first failure is retried at once, since a
// single watch may be interrupted at any time.
constexpr base::Millis kFirstRetryDelay(50);
constexpr base::Millis kMaxRetryDelay(400);
// Failures in a row after which the KV counts as unavailable.
constexpr int kFailuresUntilUnavailable = 2;

}  // namespace

std::optional<PrefixWatcher::Request> PrefixWatcher::Next(base::Millis now) {
  if (request_pending_ || now < retry_at_) {
    return std::nullopt;
  }
  request_pending_ = true;
  if (!listed_) {
    return List{reader_.start_after()};
  }
  return Watch{revision_};
}

void PrefixWatcher::RecordSuccess(std::vector<Update>& updates) {
  request_pending_ = false;
  failures_ = 0;
  if (unavailable_) {
    unavailable_ = false;
    updates.emplace_back(Available{});
  }
}

void PrefixWatcher::RecordFailure(base::Millis now,
                                  std::vector<Update>& updates) {
  request_pending_ = false;
  base::Millis delay;
  for (int i = 0; i < failures_; ++i) {
    delay = i == 0 ? kFirstRetryDelay : std::min(kMaxRetryDelay, delay * 2);
  }
  retry_at_ = now + delay;
  ++failures_;
  if (failures_ >= kFailuresUntilUnavailable && !unavailable_) {
    unavailable_ = true;
    updates.emplace_back(Unavailable{});
  }
}

void PrefixWatcher::OnEra(int64_t era) {
  listed_ = listed_ && revision_.era == era;
}

std::vector<PrefixWatcher::Update> PrefixWatcher::On(base::Millis now,
                                                     const KvListDone& done) {
  std::vector<Update> updates;
  if (!done.page) {
    RecordFailure(now, updates);
    return updates;
  }
  RecordSuccess(updates);
  // Watching from the revision of the first page reports all changes made while
  // the other pages were read.
  if (auto list = reader_.Add(*done.page)) {
    listed_ = true;
    revision_ = list->revision;
    updates.emplace_back(Listed{std::move(list->items)});
  }
  return updates;
}

std::vector<PrefixWatcher::Update> PrefixWatcher::On(base::Millis now,
                                                     const KvWatchDone& done) {
  std::vector<Update> updates;
  switch (done.outcome) {
    case KvWatchDone::Outcome::kFailed:
      RecordFailure(now, updates);
      listed_ = false;
      return updates;
    case KvWatchDone::Outcome::kCompacted:
      RecordSuccess(updates);
      listed_ = false;
      return updates;
    case KvWatchDone::Outcome::kChanges:
      break;
  }
  RecordSuccess(updates);
  if (done.revision.era != revision_.era) {
    // Changes between the copy and the revision of the list may be missing.
    listed_ = false;
    return updates;
  }
  for (const KvChange& change : done.changes) {
    updates.emplace_back(Changed{change});
  }
  revision_ = std::max(revision_, done.revision);
  if (!done.changes.empty()) {
    retry_at_ = now + watch_interval_;
  }
  return updates;
}

}  // namespace godwit::platform
