#ifndef DISPATCH_PROMPT_PART_H_
#define DISPATCH_PROMPT_PART_H_

#include <cstdint>
#include <tuple>

#include "base/ids.h"

namespace godwit::dispatch {

// A part of a prompt that other requests may share.
struct PromptPart {
  uint64_t id = 0;
  base::Tokens tokens = 0;

  friend bool operator==(const PromptPart& a, const PromptPart& b) {
    return std::tie(a.id, a.tokens) == std::tie(b.id, b.tokens);
  }
  friend bool operator!=(const PromptPart& a, const PromptPart& b) {
    return !(a == b);
  }
};

}  // namespace godwit::dispatch

#endif  // DISPATCH_PROMPT_PART_H_
