#ifndef CAS_PROGRESS_H_
#define CAS_PROGRESS_H_

#include <cstdint>

namespace godwit::cas {

// What a finished operation on a key brought.
enum class Progress : uint8_t {
  // Not an answer to the operation in flight.
  kUnrelated,
  // A version was read or written.
  kAdopted,
  // The version in view is outdated.
  kConflict,
  // The KV did not answer usefully.
  kFailed,
};

}  // namespace godwit::cas

#endif  // CAS_PROGRESS_H_
