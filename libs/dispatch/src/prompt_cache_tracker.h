#ifndef DISPATCH_PROMPT_CACHE_TRACKER_H_
#define DISPATCH_PROMPT_CACHE_TRACKER_H_

#include <cstdint>
#include <string>
#include <unordered_map>

#include "base/ids.h"
#include "base/millis.h"
#include "dispatch/prompt.h"

namespace godwit::dispatch {

// Which prompt parts this router had which backend server read.
class PromptCacheTracker {
 public:
  // Tokens at the start of a prompt that the server is taken to have cached.
  base::Tokens CachedTokens(base::Millis now,
                            const std::string& server,
                            const Prompt& prompt) const;
  void RecordServed(base::Millis now,
                    const std::string& server,
                    const Prompt& prompt);

  // Where routers agree to send prompts that share their parts: the weight of
  // a server for a prompt; the highest is the prompt's home.
  static uint64_t HomeWeight(const std::string& server, const Prompt& prompt);
  // Tokens that prompts with the same home share.
  static base::Tokens SharedTokens(const Prompt& prompt);

 private:
  std::unordered_map<uint64_t, base::Millis> last_served_;
};

}  // namespace godwit::dispatch

#endif  // DISPATCH_PROMPT_CACHE_TRACKER_H_
