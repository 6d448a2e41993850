#ifndef CONFIG_APPLY_OUTCOME_H_
#define CONFIG_APPLY_OUTCOME_H_

#include <cstdint>

namespace godwit::config {

// Outcome of applying a configuration.
enum class ApplyOutcome : uint8_t {
  // The text is the value of the key at the result's revision.
  kAccepted,
  // The key has another version than expected; this apply had no effect.
  kConflict,
  // The KV was unavailable; nothing was written.
  kUnavailable,
  // A write was not answered, and reading the key back did not show whether it
  // took effect.
  kUnknown,
};

}  // namespace godwit::config

#endif  // CONFIG_APPLY_OUTCOME_H_
