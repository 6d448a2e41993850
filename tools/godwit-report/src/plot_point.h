#ifndef GODWIT_REPORT_PLOT_POINT_H_
#define GODWIT_REPORT_PLOT_POINT_H_

#include "base/millis.h"
#include "bucket.h"

namespace godwit::report {

// Requests that ended within one step of a plot.
struct PlotPoint {
  // Start of the step, since the Unix epoch.
  base::Millis start;
  Bucket bucket;
};

}  // namespace godwit::report

#endif  // GODWIT_REPORT_PLOT_POINT_H_
