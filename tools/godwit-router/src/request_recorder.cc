#include "request_recorder.h"

#include <string>

#include "base/clocks.h"
#include "config/config.h"
#include "config/lookup.h"
#include "http/status_of.h"
#include "router/request_ended.h"
#include "telemetry/event_id.h"
#include "telemetry/log.h"
#include "telemetry/metrics.h"
#include "telemetry/request_record.h"

namespace godwit::router_daemon {
namespace {

using telemetry::EventId;
using telemetry::RequestOutcome;

RequestOutcome OutcomeOf(router::Outcome outcome) {
  switch (outcome) {
    case router::Outcome::kAnswer:
      return RequestOutcome::kAnswer;
    case router::Outcome::kNotRun:
      return RequestOutcome::kNotRun;
    default:
      return RequestOutcome::kOutcomeUnknown;
  }
}

telemetry::RequestRecord RecordOf(const router::RequestEnded& ended) {
  telemetry::RequestRecord record;
  record.wall = base::WallNow();
  record.service = ended.service;
  record.organisation = ended.organisation;
  record.traffic_class = ended.traffic_class;
  record.outcome = OutcomeOf(ended.outcome);
  record.kind = std::string(base::ErrorKindName(ended.kind));
  record.status = ended.status != 0 ? ended.status : http::StatusOf(ended.kind);
  if (ended.first_byte > base::Millis()) {
    record.first_token = ended.first_byte;
  }
  record.gap_p95 = ended.gap_p95;
  record.total = ended.total;
  record.tokens = ended.tokens;
  return record;
}

}  // namespace

void RequestRecorder::Record(const router::RequestEnded& ended,
                             const config::Config& config) {
  if (ended.outcome == router::Outcome::kCallerDisconnected) {
    telemetry::Log(EventId::kCallerGone, {{"service", ended.service},
                                          {"organisation", ended.organisation},
                                          {"total_ms", ended.total}});
    return;
  }
  const telemetry::RequestRecord record = RecordOf(ended);
  telemetry::LogRequest(record);
  const config::Service* service = config::FindService(config, ended.service);
  const config::Objective objective =
      service == nullptr ? config::Objective() : service->objective;
  metrics_.Count(record, objective.first_token, objective.token_gap);
}

}  // namespace godwit::router_daemon
