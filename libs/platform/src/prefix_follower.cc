#include "platform/prefix_follower.h"

#include <algorithm>
#include <utility>

namespace godwit::platform {
namespace {

// Pause after a failure, doubled for each further one up to the second. The
// first failure is tried again at once: a single wait may be cut at any time.
constexpr base::Millis kFirstPause(50);
constexpr base::Millis kLongestPause(400);
// Failures in a row after which the KV counts as lost.
constexpr int kFailuresToLose = 2;

}  // namespace

std::optional<PrefixFollower::Ask> PrefixFollower::Next(base::Millis now) {
  if (asking_ || now < retry_at_) {
    return std::nullopt;
  }
  asking_ = true;
  if (!listed_) {
    return List{reader_.start_after()};
  }
  return Watch{revision_};
}

void PrefixFollower::Succeed(std::vector<News>& news) {
  asking_ = false;
  failures_ = 0;
  if (lost_) {
    lost_ = false;
    news.emplace_back(Found{});
  }
}

void PrefixFollower::Fail(base::Millis now, std::vector<News>& news) {
  asking_ = false;
  base::Millis pause;
  for (int i = 0; i < failures_; ++i) {
    pause = i == 0 ? kFirstPause : std::min(kLongestPause, pause * 2);
  }
  retry_at_ = now + pause;
  ++failures_;
  if (failures_ >= kFailuresToLose && !lost_) {
    lost_ = true;
    news.emplace_back(Lost{});
  }
}

std::vector<PrefixFollower::News> PrefixFollower::On(base::Millis now,
                                                     const KvListDone& done) {
  std::vector<News> news;
  if (!done.page) {
    Fail(now, news);
    return news;
  }
  Succeed(news);
  // Changes since the first page are seen by waiting from its revision.
  if (auto list = reader_.Add(*done.page)) {
    listed_ = true;
    revision_ = list->revision;
    news.emplace_back(Listed{std::move(list->items)});
  }
  return news;
}

std::vector<PrefixFollower::News> PrefixFollower::On(base::Millis now,
                                                     const KvWatchDone& done) {
  std::vector<News> news;
  switch (done.outcome) {
    case KvWatchDone::Outcome::kFailed:
      Fail(now, news);
      listed_ = false;
      return news;
    case KvWatchDone::Outcome::kCompacted:
      Succeed(news);
      listed_ = false;
      return news;
    case KvWatchDone::Outcome::kChanges:
      break;
  }
  Succeed(news);
  for (const KvChange& change : done.changes) {
    news.emplace_back(Changed{change});
  }
  revision_ = std::max(revision_, done.revision);
  return news;
}

}  // namespace godwit::platform
