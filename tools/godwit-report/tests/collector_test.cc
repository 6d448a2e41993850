#include "collector.h"

#include <string>
#include <vector>

#include "config/config.h"
#include "config/parser.h"
#include "telemetry/request_record.h"

#include <CppUTest/TestHarness.h>

using godwit::base::Millis;
using godwit::base::OrganisationId;
using godwit::base::Seconds;
using godwit::base::ServiceId;
using godwit::config::Config;
using godwit::config::Parser;
using godwit::report::BurnReport;
using godwit::report::Collector;
using godwit::report::CollectorOptions;
using godwit::report::CountsAgainstAvailability;
using godwit::report::SeriesBurn;
using godwit::telemetry::RequestOutcome;
using godwit::telemetry::RequestRecord;

namespace {

constexpr Millis kStart = Seconds(1'800'000'000);

RequestRecord Answer(Millis wall, const std::string& organisation) {
  RequestRecord record;
  record.wall = wall;
  record.service = ServiceId("quotes");
  record.organisation = OrganisationId(organisation);
  record.first_token = Millis(100);
  record.gap_p95 = Millis(10);
  record.total = Millis(900);
  record.tokens = 10;
  return record;
}

RequestRecord Refusal(Millis wall, const std::string& kind) {
  RequestRecord record = Answer(wall, "acme");
  record.outcome = RequestOutcome::kNotRun;
  record.kind = kind;
  record.first_token.reset();
  record.gap_p95.reset();
  record.tokens = 0;
  return record;
}

Config TenPercentConfig() {
  return *Parser().Parse(
      "services:\n"
      "  quotes:\n"
      "    kind: model_pool\n"
      "    model: m\n"
      "    backend_servers: [a]\n"
      "    objective: {availability: 0.9, latency_share: 0.8, "
      "first_token_ms: 200, token_gap_ms: 20}\n"
      "organisations: {}\n",
      1);
}

}  // namespace

TEST_GROUP(Collector){};

TEST(Collector, MeasuresBudgetAndBothWindows) {
  const Config config = TenPercentConfig();
  Collector collector(&config, CollectorOptions());
  // Two hours: 90 good, then within the last hour 5 good and 5 refused.
  for (int i = 0; i < 90; ++i) {
    collector.Add(Answer(kStart + Seconds(i), "acme"));
  }
  for (int i = 0; i < 5; ++i) {
    collector.Add(Answer(kStart + Seconds(7200 + i), "other"));
    collector.Add(Refusal(kStart + Seconds(7200 + i), "overloaded"));
  }
  const BurnReport report = collector.Report({});
  CHECK_EQUAL(3, report.series.size());
  const SeriesBurn& all = report.series[0];
  CHECK(all.organisation.empty());
  CHECK_EQUAL(95, all.answers);
  CHECK_EQUAL(950, all.tokens);
  CHECK_EQUAL(5, all.refusals.at("overloaded"));
  DOUBLES_EQUAL(0.5, all.objectives[0].budget_left, 1e-9);
  DOUBLES_EQUAL(5.0, *all.objectives[0].fast_burn, 1e-9);
  DOUBLES_EQUAL(0.5, *all.objectives[0].slow_burn, 1e-9);
  CHECK_EQUAL(95, all.objectives[1].ratio.total);
  CHECK(report.from == kStart);
  const SeriesBurn& other = report.series[2];
  CHECK(other.organisation == "other");
  CHECK_EQUAL(5, other.answers);
  DOUBLES_EQUAL(1.0, other.objectives[0].budget_left, 1e-9);
}

TEST(Collector, MeasuresLatenciesAgainstTheObjective) {
  const Config config = TenPercentConfig();
  Collector collector(&config, CollectorOptions());
  for (int i = 0; i < 10; ++i) {
    RequestRecord record = Answer(kStart, "acme");
    record.first_token = Millis(i < 4 ? 201 : 200);
    record.gap_p95 = Millis(i < 1 ? 21 : 20);
    collector.Add(record);
  }
  const BurnReport report = collector.Report({});
  const auto& objectives = report.series[0].objectives;
  DOUBLES_EQUAL(2.0, *objectives[1].fast_burn, 1e-9);
  DOUBLES_EQUAL(-1.0, objectives[1].budget_left, 1e-9);
  DOUBLES_EQUAL(0.5, *objectives[2].fast_burn, 1e-9);
  DOUBLES_EQUAL(201, report.series[0].first_token_ms[1], 1e-9);
}

TEST(Collector, KindsThatCountAgainstAvailability) {
  struct Case {
    const char* kind;
    bool counts;
  };
  for (const Case& c :
       {Case{"overloaded", true}, Case{"budget_unavailable", true},
        Case{"internal", true}, Case{"outcome_unknown", true},
        Case{"budget_exhausted", false}, Case{"rate_limited", false},
        Case{"malformed", false}, Case{"cancelled", false}}) {
    CHECK_EQUAL_TEXT(c.counts, CountsAgainstAvailability(c.kind), c.kind);
  }
}

TEST(Collector, CountsMaybeFalseRefusalsAndUnknownOutcomes) {
  Collector collector(nullptr, CollectorOptions());
  collector.Add(Refusal(kStart, "budget_unavailable"));
  collector.Add(Refusal(kStart, "budget_exhausted"));
  RequestRecord unknown = Refusal(kStart, "outcome_unknown");
  unknown.outcome = RequestOutcome::kOutcomeUnknown;
  collector.Add(unknown);
  const BurnReport report = collector.Report({});
  CHECK_EQUAL(1, report.series[0].maybe_false_refusals);
  CHECK_EQUAL(1, report.series[0].outcomes_unknown);
  CHECK_EQUAL(2, report.series[0].objectives[0].ratio.total);
  CHECK_EQUAL(2, report.series[0].objectives[0].ratio.bad);
}
