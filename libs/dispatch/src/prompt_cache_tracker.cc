#include "prompt_cache_tracker.h"

#include "base/digest.h"

namespace godwit::dispatch {
namespace {

// Servers evict prompt parts that were not used for long; how soon depends on
// their load.
constexpr base::Millis kRetention = base::Seconds(60);
// Bounds the memory use to a few megabytes.
constexpr size_t kMaxEntries = 60'000;

uint64_t Mix(uint64_t value) {
  value = (value ^ (value >> 30U)) * 0xBF58476D1CE4E5B9;
  value = (value ^ (value >> 27U)) * 0x94D049BB133111EB;
  return value ^ (value >> 31U);
}

uint64_t ServerHash(const std::string& server) {
  return base::Digest::Of(server).low();
}

// The last part is specific to one request, unless it is the only one.
size_t SharedParts(const Prompt& prompt) {
  return prompt.parts.size() > 1 ? prompt.parts.size() - 1
                                 : prompt.parts.size();
}

uint64_t LastSharedPart(const Prompt& prompt) {
  const size_t shared = SharedParts(prompt);
  return shared == 0 ? 0 : prompt.parts[shared - 1].id;
}

}  // namespace

base::Tokens PromptCacheTracker::CachedTokens(base::Millis now,
                                              const std::string& server,
                                              const Prompt& prompt) const {
  const uint64_t hash = ServerHash(server);
  base::Tokens cached = 0;
  for (const PromptPart& part : prompt.parts) {
    const auto found = last_sent_.find(hash ^ Mix(part.id));
    if (found == last_sent_.end() || now - found->second > kRetention) {
      break;
    }
    cached += part.tokens;
  }
  return cached;
}

void PromptCacheTracker::RecordSent(base::Millis now,
                                    const std::string& server,
                                    const Prompt& prompt) {
  if (last_sent_.size() > kMaxEntries) {
    for (auto entry = last_sent_.begin(); entry != last_sent_.end();) {
      entry = now - entry->second > kRetention ? last_sent_.erase(entry)
                                               : std::next(entry);
    }
    if (last_sent_.size() > kMaxEntries) {
      last_sent_.clear();
    }
  }
  const uint64_t hash = ServerHash(server);
  for (const PromptPart& part : prompt.parts) {
    last_sent_[hash ^ Mix(part.id)] = now;
  }
}

uint64_t PromptCacheTracker::RendezvousWeight(const std::string& server,
                                              const Prompt& prompt) {
  return Mix(ServerHash(server) ^ Mix(LastSharedPart(prompt)));
}

uint64_t PromptCacheTracker::SharedPartsHash(const Prompt& prompt) {
  return Mix(~LastSharedPart(prompt));
}

base::Tokens PromptCacheTracker::SharedTokens(const Prompt& prompt) {
  base::Tokens tokens = 0;
  for (size_t i = 0; i < SharedParts(prompt); ++i) {
    tokens += prompt.parts[i].tokens;
  }
  return tokens;
}

}  // namespace godwit::dispatch
