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
  // Version of the key when last read or written; 0 for none.
  int64_t revision = 0;
  // The text at that version for kConflict and kUnknown, if known.
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
