#ifndef TELEMETRY_METRIC_TABLE_H_
#define TELEMETRY_METRIC_TABLE_H_

#include <vector>

#include "telemetry/metric_id.h"
#include "telemetry/metric_info.h"

namespace godwit::telemetry {

// The metric catalogue, in the order of MetricId.
const std::vector<MetricInfo>& MetricTable();

// Returns the catalogue entry of a metric.
const MetricInfo& InfoOf(MetricId id);

}  // namespace godwit::telemetry

#endif  // TELEMETRY_METRIC_TABLE_H_
