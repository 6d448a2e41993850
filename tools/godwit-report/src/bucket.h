#ifndef GODWIT_REPORT_BUCKET_H_
#define GODWIT_REPORT_BUCKET_H_

#include "ratio.h"

namespace godwit::report {

// Requests that ended within one minute, measured against each objective.
struct Bucket {
  Ratio availability;
  Ratio first_token;
  Ratio token_gap;

  Bucket& operator+=(const Bucket& other) noexcept {
    availability += other.availability;
    first_token += other.first_token;
    token_gap += other.token_gap;
    return *this;
  }
};

}  // namespace godwit::report

#endif  // GODWIT_REPORT_BUCKET_H_
