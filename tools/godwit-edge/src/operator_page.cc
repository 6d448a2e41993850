#include "operator_page.h"

#include "daemon/process_metrics.h"
#include "edge_log.h"
#include "telemetry/log.h"
#include "telemetry/metric_id.h"
#include "telemetry/metrics.h"

namespace godwit::edge {
namespace {

using telemetry::MetricId;

constexpr int kOk = 200;
constexpr int kNotFound = 404;

}  // namespace

PageServer::Page OperatorPage(const std::string& target,
                              const dispatch::Dispatcher& dispatcher,
                              int64_t store_era,
                              telemetry::Metrics& metrics) {
  if (target != "/metrics") {
    return {kNotFound, "text/plain", "no such page\n"};
  }
  SetDispatcherMetrics(metrics, dispatcher);
  metrics.Set(MetricId::kStoreEra, {}, static_cast<double>(store_era));
  metrics.Set(MetricId::kLogLinesDroppedTotal, {},
              static_cast<double>(telemetry::DroppedLogLines()));
  daemon::SetProcessMetrics(metrics);
  return {kOk, "text/plain; version=0.0.4", metrics.Render()};
}

}  // namespace godwit::edge
