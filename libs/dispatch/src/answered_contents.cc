#include "answered_contents.h"

#include <algorithm>
#include <cstddef>
#include <utility>

namespace godwit::dispatch {
namespace {

constexpr size_t kMaxRecent = 8192;

}  // namespace

void AnsweredContents::Record(base::Millis answered_at,
                              const ContentKey& content) {
  const auto known = recent_.find(content);
  if (known != recent_.end()) {
    known->second = std::max(known->second, answered_at);
    return;
  }
  if (recent_.size() >= kMaxRecent) {
    older_ = std::exchange(recent_, {});
  }
  const auto older = older_.find(content);
  recent_[content] = older == older_.end()
                         ? answered_at
                         : std::max(older->second, answered_at);
}

std::optional<base::Millis> AnsweredContents::LastAnsweredAt(
    const ContentKey& content) const {
  for (const auto* contents : {&recent_, &older_}) {
    const auto found = contents->find(content);
    if (found != contents->end()) {
      return found->second;
    }
  }
  return std::nullopt;
}

}  // namespace godwit::dispatch
