#ifndef CONFIG_APPLY_OUTCOME_H_
#define CONFIG_APPLY_OUTCOME_H_

#include <cstdint>

namespace godwit::config {

// How an apply of a configuration ended.
enum class ApplyOutcome : uint8_t {
  // The text is the value of the key at the result's revision.
  kAccepted,
  // The key has another version than expected; no effect of this apply shows.
  kConflict,
  // The KV could not be asked; nothing was written.
  kUnavailable,
  // A write went without an answer, and reading back did not tell its effect.
  kUnknown,
};

}  // namespace godwit::config

#endif  // CONFIG_APPLY_OUTCOME_H_
