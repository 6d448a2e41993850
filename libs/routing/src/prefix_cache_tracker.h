#ifndef ROUTING_PREFIX_CACHE_TRACKER_H_
#define ROUTING_PREFIX_CACHE_TRACKER_H_

#include <cstddef>
#include <cstdint>
#include <list>
#include <map>
#include <unordered_map>
#include <vector>

#include "base/digest.h"
#include "base/ids.h"

namespace godwit::routing {

// Tracks which agents recently served each prefix block, as an estimate of
// their prefix caches. Evicts the least recently served blocks. Not
// thread-safe.
class PrefixCacheTracker {
 public:
  explicit PrefixCacheTracker(size_t max_blocks);

  // Records that the agent serves a prompt with these blocks.
  void RecordServed(const std::vector<base::Digest>& blocks,
                    const base::Incarnation& agent);

  // Returns, for each agent that served the first block, the number of leading
  // blocks of the prompt that it served.
  std::map<base::Incarnation, int64_t> Match(
      const std::vector<base::Digest>& blocks) const;

 private:
  struct Entry {
    // Indices into `agents_`, most recent first.
    std::vector<uint32_t> agents;
    std::list<base::Digest>::iterator position;
  };

  uint32_t IndexOf(const base::Incarnation& agent);

  size_t max_blocks_;
  std::vector<base::Incarnation> agents_;
  std::unordered_map<base::Incarnation, uint32_t> indices_;
  // Most recently served first.
  std::list<base::Digest> order_;
  std::unordered_map<base::Digest, Entry> entries_;
};

}  // namespace godwit::routing

#endif  // ROUTING_PREFIX_CACHE_TRACKER_H_
