#include "platform/list_reader.h"

#include <utility>

#include "platform/kv_page.h"

namespace godwit::platform {

std::optional<ListReader::List> ListReader::Add(const KvPage& page) {
  if (!first_revision_) {
    first_revision_ = page.revision;
  } else if (first_revision_->era != page.revision.era) {
    items_.clear();
    start_after_.clear();
    first_revision_.reset();
    return std::nullopt;
  }
  items_.insert(items_.end(), page.items.begin(), page.items.end());
  if (page.truncated && !page.items.empty()) {
    start_after_ = page.items.back().key;
    return std::nullopt;
  }
  start_after_.clear();
  return List{std::exchange(items_, {}),
              *std::exchange(first_revision_, std::nullopt)};
}

}  // namespace godwit::platform
