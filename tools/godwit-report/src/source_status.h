#ifndef GODWIT_REPORT_SOURCE_STATUS_H_
#define GODWIT_REPORT_SOURCE_STATUS_H_

#include <cstdint>
#include <string>

#include "base/error.h"

namespace godwit::report {

// Result of reading one source.
struct SourceStatus {
  std::string name;
  // kNone if it was read to the end.
  base::Error error;
  // Number of requests read from it.
  int64_t requests = 0;
  // Truncated or damaged lines, which were skipped.
  int64_t damaged_lines = 0;

  bool readable() const noexcept {
    return error.kind() == base::ErrorKind::kNone;
  }
};

}  // namespace godwit::report

#endif  // GODWIT_REPORT_SOURCE_STATUS_H_
