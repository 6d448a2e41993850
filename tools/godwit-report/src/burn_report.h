#ifndef GODWIT_REPORT_BURN_REPORT_H_
#define GODWIT_REPORT_BURN_REPORT_H_

#include <cstdint>
#include <vector>

#include "base/millis.h"
#include "series_burn.h"
#include "source_status.h"

namespace godwit::report {

// Service-level burn report.
struct BurnReport {
  std::vector<SourceStatus> sources;
  // Time of the first and the last request; both 0 if unknown.
  base::Millis from;
  base::Millis to;
  base::Millis fast_window;
  base::Millis slow_window;
  // False if the built-in objectives were used.
  bool objectives_given = false;
  // Sorted by service; the series for all organisations comes first in each.
  std::vector<SeriesBurn> series;

  // Number of sources that could not be read to the end.
  int64_t missing_sources() const noexcept;
  // True if a source is missing or had damaged lines.
  bool partial() const noexcept;
};

}  // namespace godwit::report

#endif  // GODWIT_REPORT_BURN_REPORT_H_
