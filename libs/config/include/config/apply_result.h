#ifndef CONFIG_APPLY_RESULT_H_
#define CONFIG_APPLY_RESULT_H_

#include <cstdint>
#include <string>
#include <tuple>

#include "config/apply_outcome.h"

namespace godwit::config {

// Outcome of an ApplyOperation.
struct ApplyResult {
  ApplyOutcome outcome = ApplyOutcome::kUnknown;
  // Version of the key as read or written last; 0 for none.
  int64_t revision = 0;
  // kConflict, kUnknown: the text at that version, as far as it is known.
  std::string current_text;

  friend bool operator==(const ApplyResult& a, const ApplyResult& b) {
    return std::tie(a.outcome, a.revision, a.current_text) ==
           std::tie(b.outcome, b.revision, b.current_text);
  }
  friend bool operator!=(const ApplyResult& a, const ApplyResult& b) {
    return !(a == b);
  }
};

}  // namespace godwit::config

#endif  // CONFIG_APPLY_RESULT_H_
