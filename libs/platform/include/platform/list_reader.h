#ifndef PLATFORM_LIST_READER_H_
#define PLATFORM_LIST_READER_H_

#include <optional>
#include <string>
#include <vector>

#include "platform/kv_item.h"
#include "platform/kv_version.h"

namespace godwit::platform {

struct KvPage;

// Assembles a list from its pages, which are read one after another. Starts
// over when the KV enters a new era between two of them. No I/O. Not
// thread-safe.
class ListReader {
 public:
  struct List {
    std::vector<KvItem> items;
    // Revision of the KV when the first page was read.
    KvVersion revision;
  };

  // Key after which the next page starts; empty for the first page.
  const std::string& start_after() const noexcept { return start_after_; }
  // Adds the next page. Returns the complete list if it was the last page.
  std::optional<List> Add(const KvPage& page);

 private:
  std::vector<KvItem> items_;
  std::string start_after_;
  std::optional<KvVersion> first_revision_;
};

}  // namespace godwit::platform

#endif  // PLATFORM_LIST_READER_H_
