#ifndef TELEMETRY_METRIC_INFO_H_
#define TELEMETRY_METRIC_INFO_H_

#include <string_view>
#include <vector>

#include "telemetry/metric_id.h"
#include "telemetry/metric_type.h"

namespace godwit::telemetry {

// Entry of the metric catalogue.
struct MetricInfo {
  MetricId id;
  MetricType type;
  // Full name, with the prefix godwit_ and the unit.
  std::string_view name;
  // Unit in words.
  std::string_view unit;
  // Label names, in the order in which Metrics takes the label values.
  std::vector<std::string_view> labels;
  std::string_view description;
};

}  // namespace godwit::telemetry

#endif  // TELEMETRY_METRIC_INFO_H_
