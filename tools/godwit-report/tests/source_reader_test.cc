#include "source_reader.h"

#include <sstream>
#include <string>
#include <vector>

#include "collector.h"
#include "scrape_sample.h"
#include "telemetry/event_id.h"
#include "telemetry/log_line.h"
#include "telemetry/metrics.h"
#include "telemetry/request_record.h"

#include <CppUTest/TestHarness.h>

using godwit::base::ErrorKind;
using godwit::base::Millis;
using godwit::base::OrganisationId;
using godwit::base::ServiceId;
using godwit::report::BurnReport;
using godwit::report::Collector;
using godwit::report::CollectorOptions;
using godwit::report::ScrapeSample;
using godwit::report::SourceReader;
using godwit::report::SourceStatus;
using godwit::telemetry::EventId;
using godwit::telemetry::JsonLine;
using godwit::telemetry::Metrics;
using godwit::telemetry::RequestRecord;

namespace {

RequestRecord Sample() {
  RequestRecord record;
  record.wall = Millis(1'800'000'000'000);
  record.service = ServiceId("quotes");
  record.organisation = OrganisationId("acme");
  record.first_token = Millis(900);
  record.total = Millis(1000);
  record.tokens = 5;
  return record;
}

std::string Line() {
  const RequestRecord record = Sample();
  return JsonLine(record.wall, EventId::kRequestEnded, "router-1",
                  FieldsOf(record));
}

// Result of reading one text into a new collector.
struct ParsedSource {
  explicit ParsedSource(const std::string& text) {
    std::istringstream stream(text);
    status = SourceReader(collector).Read("source", stream);
  }
  Collector collector{nullptr, CollectorOptions()};
  SourceStatus status;
};

}  // namespace

TEST_GROUP(SourceReader){};

TEST(SourceReader, SkipsAndCountsTruncatedLines) {
  const std::string line = Line();
  const std::string other =
      JsonLine(Millis(1), EventId::kLinkClosed, "router-1", {});
  const ParsedSource reading(line + "\n" + line.substr(0, line.size() / 2) +
                             "\n" + other + "\n\n" + line + "\n" +
                             line.substr(20));
  CHECK(reading.status.readable());
  CHECK_EQUAL(2, reading.status.requests);
  CHECK_EQUAL(2, reading.status.damaged_lines);
  const BurnReport report = reading.collector.Report({reading.status});
  CHECK_EQUAL(2, report.series[0].answers);
  CHECK(report.partial());
  CHECK_EQUAL(0, report.missing_sources());
}

TEST(SourceReader, RejectsInputThatIsNeitherLogNorScrape) {
  const ParsedSource reading("2026-12-03T20:36:00Z info 501 request_ended\n");
  CHECK(reading.status.error.kind() == ErrorKind::kMalformed);
  const ParsedSource empty("");
  CHECK(empty.status.readable());
}

TEST(SourceReader, ReadsTheMetricsOfARouter) {
  Metrics metrics;
  for (int i = 0; i < 3; ++i) {
    metrics.Count(Sample(), Millis(650), Millis(31));
  }
  const ParsedSource reading(metrics.Render());
  CHECK(reading.status.readable());
  CHECK_EQUAL(3, reading.status.requests);
  CHECK_EQUAL(0, reading.status.damaged_lines);
  const BurnReport report = reading.collector.Report({});
  CHECK_EQUAL(3, report.series[0].answers);
  CHECK_EQUAL(15, report.series[0].tokens);
  CHECK_EQUAL(3, report.series[0].objectives[1].ratio.total);
  CHECK_EQUAL(3, report.series[0].objectives[1].ratio.bad);
  CHECK(!report.series[0].objectives[1].fast_burn);
}

TEST(SourceReader, NamesMissingMetricsAndCountsDamagedOnes) {
  const ParsedSource reading(
      "# HELP godwit_links_open x\ngodwit_links_open 7\n"
      "godwit_tokens_billed_total{service=\"q\",organis");
  CHECK(reading.status.error.kind() == ErrorKind::kNotFound);
  CHECK_EQUAL(1, reading.status.damaged_lines);
}

TEST(SourceReader, ReadsSamplesWithEscapes) {
  const auto sample =
      ScrapeSample::FromLine("a_total{x=\"1\\\"2\",y=\"\\\\\"} 4.5");
  CHECK(sample->name == "a_total");
  CHECK(sample->labels.at("x") == "1\"2");
  CHECK(sample->labels.at("y") == "\\");
  DOUBLES_EQUAL(4.5, sample->value, 1e-9);
  for (const char* text : {"", "a", "a ", "a{", "a{x=\"1\"", "a{x=\"1\"}",
                           "a{x=\"1\"} x", " 1", "a{x} 1"}) {
    CHECK_TEXT(!ScrapeSample::FromLine(text), text);
  }
}
