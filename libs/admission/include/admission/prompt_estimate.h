#ifndef ADMISSION_PROMPT_ESTIMATE_H_
#define ADMISSION_PROMPT_ESTIMATE_H_

#include <cstddef>

#include "base/ids.h"

namespace godwit::admission {

// Tokens that a chat template may add once per prompt.
inline constexpr base::Tokens kTemplateTokens = 64;

// Upper bound of the prompt tokens of a chat request body of `body_bytes`: no
// tokenizer in use makes more than one token of a byte, and the JSON around
// each message has more bytes than the template adds tokens for it.
base::Tokens UpperBoundTokens(size_t body_bytes);

}  // namespace godwit::admission

#endif  // ADMISSION_PROMPT_ESTIMATE_H_
