#include "pages.h"

#include <nlohmann/json.hpp>
#include <string>

#include "burn_report.h"
#include "collector.h"
#include "telemetry/request_record.h"

#include <CppUTest/TestHarness.h>

using godwit::base::Error;
using godwit::base::ErrorKind;
using godwit::base::Millis;
using godwit::base::OrganisationId;
using godwit::base::ServiceId;
using godwit::report::BurnReport;
using godwit::report::Collector;
using godwit::report::CollectorOptions;
using godwit::report::HtmlPage;
using godwit::report::JsonPage;
using godwit::report::SourceStatus;
using godwit::report::TextPage;
using godwit::telemetry::RequestRecord;

namespace {

constexpr char kFirstTokenLine[] =
    "  first token     95.00%    0.00%       1    -1900.00% 20.0x 20.0x\n";

BurnReport Sample() {
  Collector collector(nullptr, CollectorOptions());
  RequestRecord record;
  record.wall = Millis(1'800'000'000'000);
  record.service = ServiceId("<quotes>");
  record.organisation = OrganisationId("acme");
  record.first_token = Millis(900);
  record.total = Millis(1000);
  collector.Add(record);
  SourceStatus good;
  good.name = "router-1.log";
  SourceStatus missing;
  missing.name = "router-2.log";
  missing.error = Error(ErrorKind::kUnavailable, "can't be read", "check it");
  return collector.Report({good, missing});
}

void CheckContains(const std::string& page,
                   std::initializer_list<const char*> texts) {
  for (const char* text : texts) {
    STRCMP_CONTAINS(text, page.c_str());
  }
}

}  // namespace

TEST_GROUP(Pages){};

TEST(Pages, TextReportsUnreadableSources) {
  CheckContains(TextPage(Sample()),
                {"1 of 2 sources read; THE REPORT IS PARTIAL",
                 "router-2.log: unavailable: can't be read; check it",
                 "built-in objectives", "<quotes>  (all organisations)",
                 "<quotes>  acme", kFirstTokenLine});
  CheckContains(TextPage(BurnReport()), {"no requests"});
}

TEST(Pages, HtmlIsCompleteEscapedAndSelfContained) {
  const std::string page = HtmlPage(Sample());
  CheckContains(page, {"<!DOCTYPE html>", "name=\"viewport\"", "@media print",
                       "&lt;quotes&gt;", "This report is partial", "<svg ",
                       "role=\"img\"", "</html>"});
  for (const char* external : {"http:", "https:", "<script", "@import", "<link",
                               "<quotes>", "nan", "inf\""}) {
    CHECK_TEXT(page.find(external) == std::string::npos, external);
  }
}

TEST(Pages, JsonHoldsEverySeries) {
  const auto json = nlohmann::json::parse(JsonPage(Sample()));
  CHECK(json.at("partial") == true);
  CHECK_EQUAL(2, json.at("series").size());
  CHECK(json.at("series").at(0).at("organisation").is_null());
  CHECK(json.at("series").at(1).at("organisation") == "acme");
  CHECK_EQUAL(2, json.at("sources").size());
}
