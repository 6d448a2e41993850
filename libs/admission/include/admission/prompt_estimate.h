#ifndef ADMISSION_PROMPT_ESTIMATE_H_
#define ADMISSION_PROMPT_ESTIMATE_H_

#include <cstddef>

#include "base/ids.h"

namespace godwit::admission {

// Tokens that a chat template may add to a prompt as a whole.
inline constexpr base::Tokens kTemplateTokens = 64;

// Upper bound of the prompt tokens of a chat body of that many bytes: no
// tokenizer in use makes more than one token of a byte, and the JSON around
// each message is longer than the template's tokens for it.
base::Tokens UpperBoundTokens(size_t body_bytes);

}  // namespace godwit::admission

#endif  // ADMISSION_PROMPT_ESTIMATE_H_
