#ifndef TELEMETRY_METRIC_TYPE_H_
#define TELEMETRY_METRIC_TYPE_H_

#include <cstdint>
#include <string_view>

namespace godwit::telemetry {

// Type of a metric.
enum class MetricType : uint8_t {
  // Only increases.
  kCounter,
  // Can go up and down.
  kGauge,
  // Quantiles, sum and count of observations.
  kSummary,
  // Cumulative buckets with fixed bounds, sum and count.
  kHistogram,
};

// Name in the Prometheus text format, such as "counter".
std::string_view MetricTypeName(MetricType type) noexcept;

}  // namespace godwit::telemetry

#endif  // TELEMETRY_METRIC_TYPE_H_
