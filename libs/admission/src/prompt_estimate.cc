#include "admission/prompt_estimate.h"

namespace godwit::admission {

base::Tokens UpperBoundTokens(size_t body_bytes) {
  return static_cast<base::Tokens>(body_bytes) + kTemplateTokens;
}

}  // namespace godwit::admission
