#ifndef TELEMETRY_METRIC_ID_H_
#define TELEMETRY_METRIC_ID_H_

#include <cstdint>

namespace godwit::telemetry {

// Identifies a metric; described in metric_table.cc and docs/METRICS.md.
enum class MetricId : uint8_t {
  kRequestsTotal,
  kFirstTokenSeconds,
  kTokenGapSeconds,
  kRequestSeconds,
  kLatencyMissedTotal,
  kTokensBilledTotal,
  kRequestsInFlight,
  kRequestsQueued,
  kRetriesTotal,
  kResumesTotal,
  kGrantFreeTokens,
  kBackendsEjected,
  kRunsTotal,
  kRunsInFlight,
  kRunsQueued,
  kLinksOpen,
  kLinksReplacedTotal,
  kLinkFramesRefusedTotal,
  kLinkBytesTotal,
  kKvCallsTotal,
  kKvCallsBySubjectTotal,
  kPeerMessagesTotal,
  kKvCallSeconds,
  kConfigRevision,
  kConfigAgeSeconds,
  kStoreEra,
  kFleetVersion,
  kLogLinesDroppedTotal,
  kProcessCpuSecondsTotal,
  kProcessResidentBytes,
  kFirstByteLatency,
  kAnswerLatency,
  kPlaceWait,
  kBudgetTokens,
  kBudgetRefusalsTotal,
  kBudgetClosedTokensTotal,
  kBackendsCold,
  kDataCentresEvacuated,
  kLinkUtilization,
  kConnectionsHandedOverTotal,
  kAnswersDiscardedTotal,
  kConnectionsClosedTotal,
};

}  // namespace godwit::telemetry

#endif  // TELEMETRY_METRIC_ID_H_
