#ifndef PLATFORM_WRITE_OUTCOME_H_
#define PLATFORM_WRITE_OUTCOME_H_

#include <cstdint>

namespace godwit::platform {

// How a compare-and-swap ended.
enum class WriteOutcome : uint8_t {
  // Took effect.
  kWon,
  // The key had another version; no effect.
  kLost,
  // The request was never sent or was refused; no effect.
  kNotSent,
  // No answer came: it may have taken effect, or may yet do so.
  kUnknown,
};

}  // namespace godwit::platform

#endif  // PLATFORM_WRITE_OUTCOME_H_
