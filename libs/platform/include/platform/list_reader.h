#ifndef PLATFORM_LIST_READER_H_
#define PLATFORM_LIST_READER_H_

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "platform/kv_item.h"

namespace godwit::platform {

struct KvPage;

// Puts the pages of a list together, which are read one after the other. No
// I/O. One thread at a time.
class ListReader {
 public:
  struct List {
    std::vector<KvItem> items;
    // Of the KV when the first page was read.
    int64_t revision = 0;
  };

  // Key after which the next page begins; empty for the first page.
  const std::string& start_after() const noexcept { return start_after_; }
  // The whole list once this was its last page.
  std::optional<List> Add(const KvPage& page);

 private:
  std::vector<KvItem> items_;
  std::string start_after_;
  std::optional<int64_t> first_revision_;
};

}  // namespace godwit::platform

#endif  // PLATFORM_LIST_READER_H_
