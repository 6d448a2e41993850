#ifndef GODWIT_REPORT_FORMATS_H_
#define GODWIT_REPORT_FORMATS_H_

#include <optional>
#include <string>

#include "base/millis.h"

namespace godwit::report {

// "99.95%".
std::string PercentText(double share);
// "3.2x", or "-" if the burn rate is unknown.
std::string BurnText(const std::optional<double>& burn);
// "2026-12-03 20:36" in UTC.
std::string TimeText(base::Millis wall);

}  // namespace godwit::report

#endif  // GODWIT_REPORT_FORMATS_H_
