#include <csignal>
#include <cstdlib>
#include <fstream>
#include <nlohmann/json.hpp>
#include <set>
#include <sstream>
#include <string>

#include "raw_connection.h"
#include "telemetry/request_record.h"
#include "test_fleet.h"

#include <CppUTest/TestHarness.h>

using godwit::http::RawConnection;
using godwit::router_daemon::Await;
using godwit::router_daemon::BodyOfAnswer;
using godwit::router_daemon::QuestionText;
using godwit::router_daemon::RequestText;
using godwit::router_daemon::StatusOfAnswer;
using godwit::router_daemon::TestFleet;
using godwit::router_daemon::TicketText;
using godwit::telemetry::RequestOutcome;
using godwit::telemetry::RequestRecordOf;
using nlohmann::json;

namespace {

constexpr char kChat[] = "/v1/chat/completions";
constexpr char kFirstEvent[] = "data: {";
constexpr char kLastEvent[] = "data: [DONE]";

std::string Without(const std::string& text, const std::string& part) {
  std::string remaining = text;
  remaining.erase(remaining.find(part), part.size());
  return remaining;
}

// Returns the names of the metrics on a page in the Prometheus text format.
std::set<std::string> MetricNames(const std::string& page) {
  const std::string start = "# TYPE ";
  std::set<std::string> names;
  std::istringstream lines(page);
  for (std::string line; std::getline(lines, line);) {
    if (line.rfind(start, 0) == 0) {
      const size_t end = line.find(' ', start.size());
      names.insert(line.substr(start.size(), end - start.size()));
    }
  }
  return names;
}

// Returns the names that docs/METRICS.md lists as served by routers.
std::set<std::string> DocumentedNames() {
  const std::string start = "- `";
  const char* source = std::getenv("GODWIT_SOURCE_DIR");
  std::ifstream page(std::string(source == nullptr ? "." : source) +
                     "/docs/METRICS.md");
  std::set<std::string> names;
  for (std::string line; std::getline(page, line);) {
    if (line.rfind(start, 0) == 0) {
      names.insert(line.substr(start.size(), line.size() - start.size() - 1));
    }
  }
  return names;
}

// Returns the error object of an answer. Fails the test unless it has a message
// and a remedy and states that the request did not run.
json CheckedError(const std::string& answer, const char* name) {
  const json page = json::parse(BodyOfAnswer(answer), nullptr, false);
  CHECK_TEXT(page.is_object() && page.contains("error"), name);
  json error = page.at("error");
  CHECK_TEXT(!error.at("message").get<std::string>().empty(), name);
  CHECK_TEXT(!error.at("remedy").get<std::string>().empty(), name);
  CHECK_TEXT(error.at("not_run").get<bool>(), name);
  return error;
}

}  // namespace

TEST_GROUP(RouterProcess){};

TEST(RouterProcess, RejectsInvalidInputAndKeepsServing) {
  TestFleet fleet({"max_body_bytes: 1024\nread_limit_ms: 500\n", "", false});
  CHECK(Await([&] { return fleet.IsReady(); }));
  const std::string good = TicketText();
  const struct {
    const char* name;
    std::string bytes;
    int status;
    const char* kind;
  } cases[] = {
      {"malformed JSON", RequestText(kChat, "{\"model\":"), 400, "malformed"},
      {"oversized body", RequestText(kChat, std::string(2000, 'x')), 413,
       "too_large"},
      {"unknown service", RequestText("/services/none/x", "{}"), 404,
       "not_found"},
      {"unknown path", RequestText("/elsewhere", "{}"), 404, "not_found"},
      {"no token", Without(good, "Authorization: Bearer demo-key\r\n"), 401,
       "unauthenticated"},
      {"unknown token", Without(good, "demo-"), 401, "unauthenticated"},
      {"unsupported content type",
       Without(RequestText(kChat, "{}"), "application/json"), 400,
       "invalid_argument"},
      {"header flood",
       RequestText(kChat, "{}", "X-Flood: " + std::string(64000, 'x') + "\r\n"),
       431, "too_large"},
      {"truncated request", good.substr(0, good.size() - 4), 408,
       "deadline_exceeded"},
      {"not HTTP", "\x16\x03\x01 hello\r\n\r\n", 400, "malformed"},
  };
  for (const auto& c : cases) {
    const std::string answer = fleet.Send(c.bytes);
    CHECK_EQUAL_TEXT(c.status, StatusOfAnswer(answer), c.name);
    STRCMP_EQUAL_TEXT(
        c.kind,
        CheckedError(answer, c.name).at("kind").get<std::string>().c_str(),
        c.name);
    CHECK_EQUAL_TEXT(200, StatusOfAnswer(fleet.Send(good)), c.name);
  }
}

TEST(RouterProcess, RecordsRequestsInLogMetricsAndStatus) {
  TestFleet fleet;
  CHECK(Await([&] { return fleet.IsReady(); }));
  CHECK_EQUAL(200, StatusOfAnswer(fleet.Send(QuestionText())));
  const std::string over_budget =
      R"({"model":"fault-scribe","messages":[{"role":"user","content":")" +
      std::string(4000, 'x') + "\"}]}";
  CHECK_EQUAL(402, StatusOfAnswer(fleet.Send(RequestText(kChat, over_budget))));

  const std::string metrics = BodyOfAnswer(fleet.Get("/metrics"));
  for (const char* line :
       {"godwit_requests_total{service=\"language\",organisation=\"kiosk-"
        "line\",outcome=\"answer\",kind=\"none\"} 1\n",
        "outcome=\"not_run\",kind=\"budget_exhausted\"} 1\n",
        "godwit_first_token_seconds_count{service=\"language\","
        "organisation=\"kiosk-line\"} 1\n",
        "godwit_token_gap_seconds_count{service=\"language\","
        "organisation=\"kiosk-line\"} 1\n",
        "godwit_requests_in_flight{service=\"language\"} 0\n",
        "godwit_links_open 2\n", "godwit_config_revision 1\n",
        "godwit_kv_calls_total{verb=\"write\",outcome=\"ok\"}",
        "godwit_latency_missed_total{service=\"language\",organisation="
        "\"kiosk-line\",objective=\"first_token\"} 1\n"}) {
    STRCMP_CONTAINS(line, metrics.c_str());
  }
  CHECK(MetricNames(metrics) == DocumentedNames());

  const json status = json::parse(BodyOfAnswer(fleet.Get("/status")));
  CHECK(status.at("ready").get<bool>());
  CHECK(!status.at("leaving").get<bool>());
  CHECK_EQUAL(0, status.at("open_calls").size());

  std::istringstream log(fleet.Log());
  int answered = 0;
  int refused = 0;
  for (std::string line; std::getline(log, line);) {
    const auto record = RequestRecordOf(line);
    if (record && record->outcome == RequestOutcome::kAnswer) {
      ++answered;
      CHECK(record->first_token.has_value());
      CHECK(record->gap_p95.has_value());
      CHECK_EQUAL(200, record->status);
    } else if (record) {
      ++refused;
      STRCMP_EQUAL("budget_exhausted", record->kind.c_str());
      CHECK_EQUAL(402, record->status);
    }
  }
  CHECK_EQUAL(1, answered);
  CHECK_EQUAL(1, refused);
  for (const char* event : {"process_starting", "process_ready",
                            "config_in_force", "link_opened"}) {
    CHECK_TEXT(fleet.HasLogged(event), event);
  }
}

TEST(RouterProcess, StopsInOrder) {
  TestFleet fleet({"drain_grace_ms: 4000\n", "", false});
  CHECK(Await([&] { return fleet.IsReady(); }));
  RawConnection stream(fleet.port());
  stream.Send(QuestionText());
  std::string answer = stream.ReadUntil(kFirstEvent);
  fleet.InjectFaults(fleet.engine, R"({"hang":true})");
  RawConnection held(fleet.port());
  held.Send(QuestionText());
  CHECK(Await([&] {
    return fleet.Get("/status").find(R"("phase":"running")") !=
           std::string::npos;
  }));
  CHECK(fleet.Grants().value_or(0) > 0);
  fleet.router->Signal(SIGTERM);
  CHECK(Await([&] { return StatusOfAnswer(fleet.Get("/readyz")) == 503; }));
  CHECK_EQUAL(200, StatusOfAnswer(fleet.Send(TicketText())));
  std::string refusal;
  CHECK(Await([&] {
    refusal = fleet.Send(TicketText());
    return StatusOfAnswer(refusal) == 503;
  }));
  STRCMP_EQUAL(
      "leaving",
      CheckedError(refusal, "leaving").at("kind").get<std::string>().c_str());
  fleet.InjectFaults(fleet.engine, R"({"hang":false})");
  answer += stream.ReadToEnd();
  STRCMP_CONTAINS(kLastEvent, answer.c_str());
  STRCMP_CONTAINS(kLastEvent, held.ReadToEnd().c_str());
  CHECK_EQUAL(0, fleet.router->Wait());
  CHECK(fleet.HasLogged("stop_requested"));
  CHECK(fleet.HasLogged("drained"));
  CHECK(fleet.Grants() == 0);
}

TEST(RouterProcess, DrainTimeoutEndsHungRequests) {
  TestFleet fleet({"drain_limit_ms: 300\n", "", false});
  CHECK(Await([&] { return fleet.IsReady(); }));
  fleet.InjectFaults(fleet.engine, R"({"hang":true})");
  RawConnection stream(fleet.port());
  stream.Send(QuestionText());
  CHECK(Await([&] {
    return fleet.Get("/status").find(R"("open_requests":1)") !=
           std::string::npos;
  }));
  fleet.router->Signal(SIGTERM);
  CHECK_EQUAL(1, fleet.router->Wait());
  CHECK(fleet.HasLogged("drain_bound_reached"));
  STRCMP_CONTAINS("still running: language", fleet.Log().c_str());
}

TEST(RouterProcess, RequestInProgressIsCutOffWithoutAnAnswer) {
  TestFleet fleet({"drain_limit_ms: 300\n", "", false});
  CHECK(Await([&] { return fleet.IsReady(); }));
  fleet.InjectFaults(fleet.engine, R"({"hang":true})");
  RawConnection caller(fleet.port());
  caller.Send(QuestionText());
  CHECK(Await([&] {
    return fleet.Get("/status").find(R"("open_requests":1)") !=
           std::string::npos;
  }));
  fleet.router->Signal(SIGTERM);
  const std::string answer = caller.ReadToEnd();
  STRCMP_CONTAINS("outcome_unknown", answer.c_str());
  STRCMP_CONTAINS("\"not_run\":false", answer.c_str());
  CHECK_EQUAL(1, fleet.router->Wait());
}

// The deadline of the requests is a minute away.
TEST(RouterProcess, RequestThatMayOutlastTheStopIsTaken) {
  TestFleet fleet({"drain_grace_ms: 4000\ndrain_limit_ms: 5000\n", "", false});
  CHECK(Await([&] { return fleet.IsReady(); }));
  CHECK_EQUAL(200, StatusOfAnswer(fleet.Send(TicketText())));
  fleet.router->Signal(SIGTERM);
  CHECK(Await([&] { return StatusOfAnswer(fleet.Get("/readyz")) == 503; }));
  const std::string refusal = fleet.Send(TicketText());
  CHECK_EQUAL(503, StatusOfAnswer(refusal));
  STRCMP_EQUAL(
      "leaving",
      CheckedError(refusal, "leaving").at("kind").get<std::string>().c_str());
  CHECK_EQUAL(0, fleet.router->Wait());
}

TEST(RouterProcess, StopsWhileKvIsUnavailable) {
  TestFleet fleet({"handback_limit_ms: 500\n", "", false});
  CHECK(Await([&] { return fleet.IsReady(); }));
  CHECK_EQUAL(200, StatusOfAnswer(fleet.Send(TicketText())));
  fleet.InjectFaults(fleet.platform, R"({"silent":true})");
  CHECK(Await([&] { return fleet.HasLogged("kv_unavailable"); }));
  fleet.router->Signal(SIGTERM);
  CHECK_EQUAL(0, fleet.router->Wait());
  CHECK(fleet.HasLogged("hand_over_late"));
  fleet.InjectFaults(fleet.platform, R"({"silent":false})");
  CHECK(fleet.Grants().value_or(0) > 0);
}
