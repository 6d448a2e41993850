#ifndef DISPATCH_PROMPT_CACHE_TRACKER_H_
#define DISPATCH_PROMPT_CACHE_TRACKER_H_

#include <cstdint>
#include <string>
#include <unordered_map>

#include "base/ids.h"
#include "base/millis.h"
#include "dispatch/prompt.h"

namespace godwit::dispatch {

// Tracks which prompt parts this router sent to which backend server, as an
// estimate of the servers' prefix caches.
class PromptCacheTracker {
 public:
  // Tokens at the start of a prompt that the server is assumed to have cached.
  base::Tokens CachedTokens(base::Millis now,
                            const std::string& server,
                            const Prompt& prompt) const;
  void RecordSent(base::Millis now,
                  const std::string& server,
                  const Prompt& prompt);

  // Rendezvous hashing weight of a server for a prompt. The server with the
  // highest weight is preferred for all prompts that share their parts, the
  // same at every router.
  static uint64_t RendezvousWeight(const std::string& server,
                                   const Prompt& prompt);
  // A hash of the shared parts, independent of that weight.
  static uint64_t SharedPartsHash(const Prompt& prompt);
  // Tokens that prompts with the same preferred server have in common.
  static base::Tokens SharedTokens(const Prompt& prompt);

 private:
  std::unordered_map<uint64_t, base::Millis> last_sent_;
};

}  // namespace godwit::dispatch

#endif  // DISPATCH_PROMPT_CACHE_TRACKER_H_
