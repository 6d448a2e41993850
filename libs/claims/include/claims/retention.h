#ifndef CLAIMS_RETENTION_H_
#define CLAIMS_RETENTION_H_

#include "base/millis.h"

namespace godwit::claims {

// Time for which the run directory answers retries of a request.
constexpr base::Millis kDirectoryRetention(10 * 60 * 1000);

}  // namespace godwit::claims

#endif  // CLAIMS_RETENTION_H_
