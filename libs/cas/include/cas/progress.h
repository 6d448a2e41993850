#ifndef CAS_PROGRESS_H_
#define CAS_PROGRESS_H_

#include <cstdint>

namespace godwit::cas {

// Result of a finished operation on a key.
enum class Progress : uint8_t {
  // The reply does not belong to the operation in flight.
  kUnrelated,
  // A version was read or written.
  kAdopted,
  // Another write won; the version in view may be outdated.
  kConflict,
  // The KV was unavailable, gave no definite outcome, or the value could not be
  // decoded.
  kFailed,
};

}  // namespace godwit::cas

#endif  // CAS_PROGRESS_H_
