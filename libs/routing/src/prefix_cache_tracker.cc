#include "prefix_cache_tracker.h"

#include <algorithm>

namespace godwit::routing {

namespace {

constexpr size_t kMaxAgentsPerBlock = 16;

}  // namespace

PrefixCacheTracker::PrefixCacheTracker(size_t max_blocks)
    : max_blocks_(max_blocks) {}

void PrefixCacheTracker::RecordServed(const std::vector<base::Digest>& blocks,
                                      const base::Incarnation& agent) {
  const uint32_t index = IndexOf(agent);
  // The longest prefix first, so that shorter ones are evicted later.
  for (auto block = blocks.rbegin(); block != blocks.rend(); ++block) {
    auto [it, first] = entries_.try_emplace(*block);
    Entry& entry = it->second;
    if (first) {
      order_.push_front(*block);
      entry.position = order_.begin();
    } else {
      order_.splice(order_.begin(), order_, entry.position);
    }
    auto& agents = entry.agents;
    agents.erase(std::remove(agents.begin(), agents.end(), index),
                 agents.end());
    agents.insert(agents.begin(), index);
    if (agents.size() > kMaxAgentsPerBlock) {
      agents.pop_back();
    }
  }
  while (order_.size() > max_blocks_) {
    entries_.erase(order_.back());
    order_.pop_back();
  }
}

std::map<base::Incarnation, int64_t> PrefixCacheTracker::Match(
    const std::vector<base::Digest>& blocks) const {
  std::map<uint32_t, int64_t> matched;
  for (size_t i = 0; i < blocks.size(); ++i) {
    auto entry = entries_.find(blocks[i]);
    if (entry == entries_.end()) {
      break;
    }
    const auto leading = static_cast<int64_t>(i);
    for (const uint32_t agent : entry->second.agents) {
      int64_t& count = matched[agent];
      count += count == leading ? 1 : 0;
    }
  }
  std::map<base::Incarnation, int64_t> named;
  for (const auto& [agent, count] : matched) {
    if (count > 0) {
      named[agents_[agent]] = count;
    }
  }
  return named;
}

uint32_t PrefixCacheTracker::IndexOf(const base::Incarnation& agent) {
  const auto next = static_cast<uint32_t>(agents_.size());
  auto [it, first] = indices_.try_emplace(agent, next);
  if (first) {
    agents_.push_back(agent);
  }
  return it->second;
}

}  // namespace godwit::routing
