#ifndef ADMISSION_ORGANISATION_LIMITS_H_
#define ADMISSION_ORGANISATION_LIMITS_H_

#include <cstdint>
#include <map>
#include <optional>

#include "admission/limit_refusal.h"
#include "base/ids.h"
#include "base/millis.h"

namespace godwit::admission {

// Rate and concurrency limits of organisations at one router. The rate limit is
// a token bucket with a capacity of one second's requests. Not thread-safe.
class OrganisationLimits {
 public:
  // Admits and counts a request, or returns the reason for its refusal. A limit
  // of 0 means no limit. Each admitted request must be released once.
  std::optional<LimitRefusal> Admit(base::Millis now,
                                    const base::OrganisationId& organisation,
                                    int64_t max_requests_per_second,
                                    int64_t max_concurrent);
  // An admitted request has ended.
  void Release(const base::OrganisationId& organisation);

  // Requests in progress.
  int64_t in_progress(const base::OrganisationId& organisation) const;

 private:
  struct Account {
    // Thousandths of a request.
    int64_t allowance = 0;
    base::Millis refilled_at;
    bool initialized = false;
    int64_t in_progress = 0;
  };

  std::map<base::OrganisationId, Account> accounts_;
};

}  // namespace godwit::admission

#endif  // ADMISSION_ORGANISATION_LIMITS_H_
