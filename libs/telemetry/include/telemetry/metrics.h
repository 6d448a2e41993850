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

// The metrics of one process. One thread at a time.
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
  // Sets a gauge, or a counter that is kept elsewhere.
  void Set(MetricId id, const Labels& labels, double value);
  // Adds an observation to a summary or a histogram.
  void Observe(MetricId id, const Labels& labels, double value);
  // Counts an ended request in every metric that a record tells, with the
  // latency objectives of its service.
  void Count(const RequestRecord& record,
             base::Millis first_token_objective,
             base::Millis token_gap_objective);

  // Closes the window of the quantiles. Due every minute.
  void CloseWindow();

  // All metrics in the Prometheus text format.
  std::string Render() const;

 private:
  struct Series;

  Series& At(MetricId id, const Labels& labels);
  static void RenderHistogram(const MetricInfo& info,
                              const Labels& values,
                              const Series& series,
                              std::string& text);

  std::map<std::pair<MetricId, Labels>, std::unique_ptr<Series>> series_;
};

}  // namespace godwit::telemetry

#endif  // TELEMETRY_METRICS_H_
