#ifndef GODWIT_REPORT_COLLECTOR_OPTIONS_H_
#define GODWIT_REPORT_COLLECTOR_OPTIONS_H_

#include "base/millis.h"

namespace godwit::report {

// Windows of the burn rates.
struct CollectorOptions {
  base::Millis fast_window = base::Seconds(3600);
  base::Millis slow_window = base::Seconds(6 * 3600);
};

}  // namespace godwit::report

#endif  // GODWIT_REPORT_COLLECTOR_OPTIONS_H_
