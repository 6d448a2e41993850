#ifndef TELEMETRY_METRICS_H_
#define TELEMETRY_METRICS_H_

#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "base/millis.h"
#include "telemetry/metric_id.h"

namespace godwit::telemetry {

struct MetricInfo;
struct RequestRecord;

// The metrics of one process. Not thread-safe.
class Metrics {
 public:
  // Label values, in the order of the catalogue.
  using Labels = std::vector<std::string>;

  Metrics();
  ~Metrics();
  Metrics(const Metrics&) = delete;
  Metrics& operator=(const Metrics&) = delete;

  // Adds to a counter. `amount` is not negative.
  void Add(MetricId id, const Labels& labels = {}, double amount = 1);
  // Sets a gauge, or a counter whose value is maintained elsewhere.
  void Set(MetricId id, const Labels& labels, double value);
  // Adds an observation to a summary or a histogram.
  void Observe(MetricId id, const Labels& labels, double value);
  // Updates all request metrics from the record of an ended request. The
  // objectives are the latency objectives of its service.
  void Count(const RequestRecord& record,
             base::Millis first_token_objective,
             base::Millis token_gap_objective);

  // Closes the current quantile window and starts a new one. Must be called
  // every minute.
  void CloseWindow();

  // Renders all metrics in the Prometheus text format.
  std::string Render() const;

 private:
  struct Series;

  Series& SeriesFor(MetricId id, const Labels& labels);
  static void RenderHistogram(const MetricInfo& info,
                              const Labels& values,
                              const Series& series,
                              std::string& text);

  std::map<std::pair<MetricId, Labels>, std::unique_ptr<Series>> series_;
};

}  // namespace godwit::telemetry

#endif  // TELEMETRY_METRICS_H_
