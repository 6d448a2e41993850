#include "prompt_memory.h"

#include "base/digest.h"

namespace godwit::dispatch {
namespace {

// Servers forget what was not used for long; how long depends on their load.
constexpr base::Millis kRemembered = base::Seconds(60);
// Bounds the memory at a few megabytes.
constexpr size_t kMostEntries = 60'000;

uint64_t Mix(uint64_t value) {
  value = (value ^ (value >> 30U)) * 0xBF58476D1CE4E5B9;
  value = (value ^ (value >> 27U)) * 0x94D049BB133111EB;
  return value ^ (value >> 31U);
}

uint64_t ServerHash(const std::string& server) {
  return base::Digest::Of(server).low();
}

// The last part belongs to one request only, unless it is the only one.
size_t SharedParts(const Prompt& prompt) {
  return prompt.parts.size() > 1 ? prompt.parts.size() - 1
                                 : prompt.parts.size();
}

}  // namespace

base::Tokens PromptMemory::Cached(base::Millis now,
                                  const std::string& server,
                                  const Prompt& prompt) const {
  const uint64_t hash = ServerHash(server);
  base::Tokens cached = 0;
  for (const PromptPart& part : prompt.parts) {
    const auto found = seen_.find(hash ^ Mix(part.id));
    if (found == seen_.end() || now - found->second > kRemembered) {
      break;
    }
    cached += part.tokens;
  }
  return cached;
}

void PromptMemory::Remember(base::Millis now,
                            const std::string& server,
                            const Prompt& prompt) {
  if (seen_.size() > kMostEntries) {
    for (auto entry = seen_.begin(); entry != seen_.end();) {
      entry = now - entry->second > kRemembered ? seen_.erase(entry)
                                                : std::next(entry);
    }
    if (seen_.size() > kMostEntries) {
      seen_.clear();
    }
  }
  const uint64_t hash = ServerHash(server);
  for (const PromptPart& part : prompt.parts) {
    seen_[hash ^ Mix(part.id)] = now;
  }
}

uint64_t PromptMemory::HomeWeight(const std::string& server,
                                  const Prompt& prompt) {
  const size_t shared = SharedParts(prompt);
  const uint64_t last = shared == 0 ? 0 : prompt.parts[shared - 1].id;
  return Mix(ServerHash(server) ^ Mix(last));
}

base::Tokens PromptMemory::SharedTokens(const Prompt& prompt) {
  base::Tokens tokens = 0;
  for (size_t i = 0; i < SharedParts(prompt); ++i) {
    tokens += prompt.parts[i].tokens;
  }
  return tokens;
}

}  // namespace godwit::dispatch
