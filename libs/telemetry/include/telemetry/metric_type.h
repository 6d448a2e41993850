#ifndef TELEMETRY_METRIC_TYPE_H_
#define TELEMETRY_METRIC_TYPE_H_

#include <cstdint>
#include <string_view>

namespace godwit::telemetry {

// How a metric behaves.
enum class MetricType : uint8_t {
  // Only grows.
  kCounter,
  // Takes any value.
  kGauge,
  // Quantiles, sum and count of observations.
  kSummary,
  // Observations up to each of a few bounds, sum and count.
  kHistogram,
};

// Name in the text format of scrapers, such as "counter".
std::string_view MetricTypeName(MetricType type) noexcept;

}  // namespace godwit::telemetry

#endif  // TELEMETRY_METRIC_TYPE_H_
