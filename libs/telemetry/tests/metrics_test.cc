#include "telemetry/metrics.h"

#include <algorithm>
#include <random>
#include <string>

#include "telemetry/quantiles.h"
#include "telemetry/request_record.h"

#include <CppUTest/TestHarness.h>

using godwit::base::Millis;
using godwit::base::OrganisationId;
using godwit::base::ServiceId;
using godwit::telemetry::MetricId;
using godwit::telemetry::Metrics;
using godwit::telemetry::Quantiles;
using godwit::telemetry::RequestOutcome;
using godwit::telemetry::RequestRecord;

TEST_GROUP(Metrics){};

TEST(Metrics, RendersCountersGaugesAndEscapes) {
  Metrics metrics;
  metrics.Add(MetricId::kRetriesTotal, {"a\"b"});
  metrics.Add(MetricId::kRetriesTotal, {"a\"b"}, 2);
  metrics.Set(MetricId::kLinksOpen, {}, 7);
  STRCMP_EQUAL(
      "# HELP godwit_retries_total Requests tried at another backend server "
      "after one did not run them.\n"
      "# TYPE godwit_retries_total counter\n"
      "godwit_retries_total{service=\"a\\\"b\"} 3\n"
      "# HELP godwit_links_open Open links to other processes of the fleet.\n"
      "# TYPE godwit_links_open gauge\n"
      "godwit_links_open 7\n",
      metrics.Render().c_str());
}

TEST(Metrics, RendersHistogramsWithCumulativeBuckets) {
  Metrics metrics;
  for (const double seconds : {0.02, 0.1, 0.25, 20.0}) {
    metrics.Observe(MetricId::kPlaceWait, {"s"}, seconds);
  }
  const std::string text = metrics.Render();
  const auto has = [&text](const std::string& line) {
    return text.find("godwit_place_wait_seconds" + line + "\n") !=
           std::string::npos;
  };
  CHECK(has("_bucket{service=\"s\",le=\"0.025\"} 1"));
  CHECK(has("_bucket{service=\"s\",le=\"0.1\"} 2"));
  CHECK(has("_bucket{service=\"s\",le=\"0.3\"} 3"));
  CHECK(has("_bucket{service=\"s\",le=\"10\"} 3"));
  CHECK(has("_bucket{service=\"s\",le=\"+Inf\"} 4"));
  CHECK(has("_sum{service=\"s\"} 20.37"));
  CHECK(has("_count{service=\"s\"} 4"));
}

TEST(Metrics, CountsRecordsByServiceAndOrganisation) {
  Metrics metrics;
  RequestRecord record;
  record.service = ServiceId("quotes");
  record.organisation = OrganisationId("acme");
  record.first_token = Millis(250);
  record.total = Millis(2000);
  record.tokens = 40;
  metrics.Count(record, Millis(200), Millis(31));
  record.outcome = RequestOutcome::kNotRun;
  record.kind = "overloaded";
  metrics.Count(record, Millis(200), Millis(31));
  const std::string text = metrics.Render();
  for (const char* line :
       {"godwit_requests_total{service=\"quotes\",organisation=\"acme\","
        "outcome=\"answer\",kind=\"none\"} 1\n",
        "outcome=\"not_run\",kind=\"overloaded\"} 1\n",
        "godwit_tokens_billed_total{service=\"quotes\",organisation=\"acme\"} "
        "40\n",
        "godwit_latency_missed_total{service=\"quotes\",organisation=\"acme\","
        "objective=\"first_token\"} 1\n",
        "godwit_first_token_seconds{service=\"quotes\",organisation=\"acme\","
        "quantile=\"0.95\"} 0.25\n",
        "godwit_request_seconds_sum{service=\"quotes\",organisation=\"acme\"} "
        "2\n",
        "godwit_request_seconds_count{service=\"quotes\",organisation=\"acme\"}"
        " 1\n"}) {
    STRCMP_CONTAINS(line, text.c_str());
  }
}

TEST(Metrics, QuantilesAreOfTheLastClosedWindow) {
  Metrics metrics;
  metrics.Observe(MetricId::kKvCallSeconds, {"read"}, 5);
  metrics.CloseWindow();
  metrics.Observe(MetricId::kKvCallSeconds, {"read"}, 9);
  const std::string text = metrics.Render();
  STRCMP_CONTAINS("verb=\"read\",quantile=\"0.5\"} 5\n", text.c_str());
  STRCMP_CONTAINS("godwit_kv_call_seconds_sum{verb=\"read\"} 14\n",
                  text.c_str());
}

TEST(Metrics, QuantilesAreWithinTolerance) {
  struct Case {
    int count;
    double tolerance;
  };
  for (const Case& c : {Case{1, 0.0}, Case{20, 1.0}, Case{100000, 10.0}}) {
    Quantiles quantiles({0.5, 0.95, 0.99});
    std::mt19937_64 random(1);
    std::vector<int> values;
    values.reserve(c.count);
    for (int i = 0; i < c.count; ++i) {
      values.push_back(i * 1000 / c.count);
    }
    std::shuffle(values.begin(), values.end(), random);
    for (const int value : values) {
      quantiles.Add(value);
    }
    DOUBLES_EQUAL(c.count == 1 ? 0 : 500, quantiles.Value(0),
                  c.tolerance + 1000.0 / c.count);
    DOUBLES_EQUAL(c.count == 1 ? 0 : 950, quantiles.Value(1),
                  c.tolerance + 1000.0 / c.count);
    CHECK_EQUAL(c.count, quantiles.count());
  }
  DOUBLES_EQUAL(0, Quantiles({0.5}).Value(0), 0);
}
