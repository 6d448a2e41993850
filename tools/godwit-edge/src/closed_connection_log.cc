#include "closed_connection_log.h"

#include <vector>

#include "telemetry/event_id.h"
#include "telemetry/log.h"
#include "telemetry/metric_id.h"
#include "telemetry/metrics.h"

namespace godwit::edge {
namespace {

constexpr base::Millis kReportInterval(1000);

struct Limit {
  const char* name;
  size_t relay::ClosedConnections::*count;
};

constexpr Limit kLimits[] = {
    {"replaced", &relay::ClosedConnections::replaced},
    {"refused", &relay::ClosedConnections::refused},
    {"buffers", &relay::ClosedConnections::buffers},
    {"unread", &relay::ClosedConnections::unread},
    {"pipelined", &relay::ClosedConnections::pipelined},
    {"slow_bodies", &relay::ClosedConnections::slow_bodies},
    {"not_accepted", &relay::ClosedConnections::not_accepted},
};

}  // namespace

void ClosedConnectionLog::Report(base::Millis now,
                                 const relay::ClosedConnections& closed,
                                 telemetry::Metrics& metrics) {
  if (closed == reported_ || now - reported_at_ < kReportInterval) {
    return;
  }
  std::vector<telemetry::Field> fields = {{"address", address_}};
  for (const Limit& limit : kLimits) {
    const size_t count = closed.*limit.count - reported_.*limit.count;
    if (count > 0) {
      fields.emplace_back(limit.name, count);
      metrics.Add(telemetry::MetricId::kConnectionsClosedTotal,
                  {address_, limit.name}, static_cast<double>(count));
    }
  }
  telemetry::Log(telemetry::EventId::kConnectionsClosed, fields);
  reported_ = closed;
  reported_at_ = now;
}

}  // namespace godwit::edge
