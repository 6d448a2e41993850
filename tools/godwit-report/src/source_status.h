#ifndef GODWIT_REPORT_SOURCE_STATUS_H_
#define GODWIT_REPORT_SOURCE_STATUS_H_

#include <cstdint>
#include <string>

#include "base/error.h"

namespace godwit::report {

// What became of one source.
struct SourceStatus {
  std::string name;
  // kNone when it was read to the end.
  base::Error error;
  // Requests that it told of.
  int64_t requests = 0;
  // Lines that were cut or damaged, and skipped.
  int64_t damaged_lines = 0;

  bool readable() const noexcept {
    return error.kind() == base::ErrorKind::kNone;
  }
};

}  // namespace godwit::report

#endif  // GODWIT_REPORT_SOURCE_STATUS_H_
