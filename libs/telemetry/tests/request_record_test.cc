#include "telemetry/request_record.h"

#include <string>

#include "telemetry/event_id.h"
#include "telemetry/log_line.h"

#include <CppUTest/TestHarness.h>

using godwit::base::Millis;
using godwit::base::OrganisationId;
using godwit::base::ServiceId;
using godwit::telemetry::EventId;
using godwit::telemetry::RequestOutcome;
using godwit::telemetry::RequestRecord;
using godwit::telemetry::RequestRecordOf;

namespace {

RequestRecord Sample() {
  RequestRecord record;
  record.wall = Millis(1234567);
  record.service = ServiceId("quotes");
  record.organisation = OrganisationId("acme");
  record.traffic_class = "chat";
  record.outcome = RequestOutcome::kNotRun;
  record.kind = "overloaded";
  record.status = 503;
  record.total = Millis(12);
  return record;
}

std::string LineOf(const RequestRecord& record) {
  return JsonLine(record.wall, EventId::kRequestEnded, "router-1",
                  FieldsOf(record));
}

}  // namespace

TEST_GROUP(RequestRecord){};

TEST(RequestRecord, RoundTripsThroughLogLine) {
  RequestRecord record = Sample();
  CHECK(RequestRecordOf(LineOf(record)) == record);
  record.outcome = RequestOutcome::kAnswer;
  record.kind = "none";
  record.first_token = Millis(300);
  record.gap_p95 = Millis(0);
  record.tokens = 77;
  CHECK(RequestRecordOf(LineOf(record)) == record);
}

TEST(RequestRecord, RejectsOtherAndTruncatedLines) {
  const std::string line = LineOf(Sample());
  for (size_t length = 0; length < line.size(); ++length) {
    CHECK(!RequestRecordOf(line.substr(0, length)));
  }
  for (const char* other :
       {"{\"ts\":9000000000000000000,\"event\":501,\"service\":\"s\","
        "\"organisation\":\"o\",\"outcome\":\"answer\",\"kind\":\"none\","
        "\"total_ms\":1}",
        "[]", "{\"event\":501}", "{\"event\":\"501\",\"ts\":1}",
        "{\"ts\":1,\"event\":501,\"service\":\"s\",\"organisation\":\"o\","
        "\"outcome\":\"perhaps\",\"kind\":\"none\",\"total_ms\":1}"}) {
    CHECK_TEXT(!RequestRecordOf(other), other);
  }
  CHECK(!RequestRecordOf(JsonLine(Millis(1), EventId::kLinkClosed, "p", {})));
}
