#include "http/status_of.h"

namespace godwit::http {

using base::ErrorKind;

int StatusOf(ErrorKind kind) {
  switch (kind) {
    case ErrorKind::kInvalidArgument:
    case ErrorKind::kMalformed:
      return 400;
    case ErrorKind::kUnauthenticated:
      return 401;
    case ErrorKind::kBudgetExhausted:
      return 402;
    case ErrorKind::kForbidden:
      return 403;
    case ErrorKind::kNotFound:
      return 404;
    case ErrorKind::kConflict:
      return 409;
    case ErrorKind::kTooLarge:
      return 413;
    case ErrorKind::kKeyReused:
      return 422;
    case ErrorKind::kRateLimited:
      return 429;
    case ErrorKind::kOutcomeUnknown:
    case ErrorKind::kBackendFailed:
      return 502;
    case ErrorKind::kDeadlineExceeded:
      return 504;
    case ErrorKind::kInternal:
      return 500;
    default:
      return 503;
  }
}

}  // namespace godwit::http
