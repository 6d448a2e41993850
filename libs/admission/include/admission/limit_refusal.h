#ifndef ADMISSION_LIMIT_REFUSAL_H_
#define ADMISSION_LIMIT_REFUSAL_H_

#include "base/error_kind.h"
#include "base/millis.h"

namespace godwit::admission {

// Why a request was not admitted.
struct LimitRefusal {
  // kRateLimited or kOverloaded.
  base::ErrorKind kind = base::ErrorKind::kRateLimited;
  // Delay after which to retry; above zero.
  base::Millis retry_after;
};

}  // namespace godwit::admission

#endif  // ADMISSION_LIMIT_REFUSAL_H_
