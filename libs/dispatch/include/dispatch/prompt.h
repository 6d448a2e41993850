#ifndef DISPATCH_PROMPT_H_
#define DISPATCH_PROMPT_H_

#include <cstddef>
#include <cstdint>
#include <string>
#include <tuple>
#include <vector>

#include "base/ids.h"
#include "dispatch/prompt_part.h"

namespace godwit::dispatch {

// The prompt of a generation, as stated by the caller.
struct Prompt {
  std::string model;
  base::Tokens input_tokens = 0;
  base::Tokens max_output_tokens = 0;
  // In order; the last one is specific to the request or its session.
  std::vector<PromptPart> parts;

  // Ids of the parts that other requests may have too: all but the last one.
  std::vector<uint64_t> SharedParts() const {
    std::vector<uint64_t> ids;
    for (size_t i = 0; i + 1 < parts.size(); ++i) {
      ids.push_back(parts[i].id);
    }
    return ids;
  }

  friend bool operator==(const Prompt& a, const Prompt& b) {
    return std::tie(a.model, a.input_tokens, a.max_output_tokens, a.parts) ==
           std::tie(b.model, b.input_tokens, b.max_output_tokens, b.parts);
  }
  friend bool operator!=(const Prompt& a, const Prompt& b) { return !(a == b); }
};

}  // namespace godwit::dispatch

#endif  // DISPATCH_PROMPT_H_
