#ifndef BASE_ERROR_KIND_H_
#define BASE_ERROR_KIND_H_

#include <cstdint>
#include <string_view>

namespace godwit::base {

// Machine-readable kind of a failure. The numeric values are part of the link
// protocol; append only.
enum class ErrorKind : uint8_t {
  kNone = 0,
  kInvalidArgument = 1,
  kMalformed = 2,
  kTooLarge = 3,
  kUnauthenticated = 4,
  kForbidden = 5,
  kNotFound = 6,
  kConflict = 7,
  kKeyReused = 8,
  kBudgetExhausted = 9,
  kBudgetUnavailable = 10,
  kRateLimited = 11,
  kOverloaded = 12,
  kDeadlineExceeded = 13,
  kUnavailable = 14,
  kDependencyDown = 15,
  kLeaving = 16,
  kOutcomeUnknown = 17,
  kBackendFailed = 18,
  kCorrupt = 19,
  kProtocol = 20,
  kStale = 21,
  kCancelled = 22,
  kInternal = 23,
  // Requests with this content crash backend servers.
  kContained = 24,
};

// Stable lower-case name such as "budget_exhausted".
std::string_view ErrorKindName(ErrorKind kind) noexcept;

}  // namespace godwit::base

#endif  // BASE_ERROR_KIND_H_
