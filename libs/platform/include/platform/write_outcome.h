#ifndef PLATFORM_WRITE_OUTCOME_H_
#define PLATFORM_WRITE_OUTCOME_H_

#include <cstdint>

namespace godwit::platform {

// Outcome of a compare-and-swap.
enum class WriteOutcome : uint8_t {
  // The write took effect.
  kWon,
  // The key had another version, or a condition did not hold; no effect.
  kLost,
  // The request was never sent or was refused; no effect.
  kNotSent,
  // No answer was received: the write may have taken effect, or may do so
  // later.
  kUnknown,
};

}  // namespace godwit::platform

#endif  // PLATFORM_WRITE_OUTCOME_H_
