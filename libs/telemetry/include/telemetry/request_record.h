#ifndef TELEMETRY_REQUEST_RECORD_H_
#define TELEMETRY_REQUEST_RECORD_H_

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <tuple>
#include <vector>

#include "base/error_kind.h"
#include "base/ids.h"
#include "base/millis.h"
#include "telemetry/field.h"
#include "telemetry/request_outcome.h"

namespace godwit::telemetry {

// Log record of an ended request, logged as event kRequestEnded.
struct RequestRecord {
  // Time of the end, since the Unix epoch.
  base::Millis wall;
  base::ServiceId service;
  base::OrganisationId organisation;
  std::string traffic_class;
  RequestOutcome outcome = RequestOutcome::kAnswer;
  // Name of the error kind; "none" for an answer.
  std::string kind = "none";
  // HTTP status.
  int64_t status = 0;
  // From arrival to the first answer byte; empty if there was none.
  std::optional<base::Millis> first_token;
  // 95th percentile of the times between tokens; empty if there were none.
  std::optional<base::Millis> gap_p95;
  // From arrival to the end of the request.
  base::Millis total;
  // Tokens billed.
  base::Tokens tokens = 0;

  friend bool operator==(const RequestRecord& a, const RequestRecord& b) {
    return std::tie(a.wall, a.service, a.organisation, a.traffic_class,
                    a.outcome, a.kind, a.status, a.first_token, a.gap_p95,
                    a.total, a.tokens) ==
           std::tie(b.wall, b.service, b.organisation, b.traffic_class,
                    b.outcome, b.kind, b.status, b.first_token, b.gap_p95,
                    b.total, b.tokens);
  }
  friend bool operator!=(const RequestRecord& a, const RequestRecord& b) {
    return !(a == b);
  }
};

// Returns the log fields of a record, without `wall`, which is the time of the
// log line.
std::vector<Field> FieldsOf(const RequestRecord& record);

// Logs a record. Callable from any thread.
void LogRequest(const RequestRecord& record);

// Parses a JSON log line. Returns nullopt if it is not a complete request
// record.
std::optional<RequestRecord> RequestRecordOf(std::string_view line);

}  // namespace godwit::telemetry

#endif  // TELEMETRY_REQUEST_RECORD_H_
