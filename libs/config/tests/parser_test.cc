#include "config/parser.h"

#include <string>
#include <vector>

#include "config/config.h"
#include "config/lookup.h"

#include <CppUTest/TestHarness.h>

using godwit::base::Millis;
using godwit::config::Parser;
using godwit::config::ServiceKind;

namespace {

const std::string kHash(64, 'a');
const std::string kOrganisations = "organisations: {}\n";
const std::string kServices =
    "services: {crew: {kind: plain, backend_servers: [agent-1]}}\n";

std::string ServicesOf(const std::string& body) {
  return "services:\n" + body + kOrganisations;
}

std::string OrganisationOf(const std::string& body) {
  return kServices + "organisations:\n" + body;
}

struct RejectedText {
  std::string text;
  std::string message;
};

void CheckRejected(const std::vector<RejectedText>& cases) {
  for (const RejectedText& c : cases) {
    Parser parser;
    CHECK_TEXT(!parser.Parse(c.text, 1), c.text.c_str());
    STRCMP_CONTAINS(c.message.c_str(), parser.last_error().ToString().c_str());
    CHECK_TEXT(!parser.last_error().remedy().empty(), c.text.c_str());
  }
}

}  // namespace

TEST_GROUP(Parser){};

TEST(Parser, ReadsEveryKey) {
  const std::string text = R"(
classes:
  quotes: {priority: 80, deadline_ms: 5000}
  chat: {}
services:
  quoting:
    kind: model_pool
    model: stain-quoter
    backend_servers: [agent-1, agent-2]
    depends_on: [crew]
    max_output_tokens: 2048
    max_running: 8
    objective:
      availability: 0.99
      first_token_ms: 700
      token_gap_ms: 40
      latency_share: 0.9
  crew:
    kind: plain
    backend_servers: [agent-3]
    call_cost: 5
organisations:
  acme:
    api_key_hashes: [)" + kHash +
                           R"(]
    budget: acme-main
    max_requests_per_second: 20
    max_concurrent: 7
    services: [quoting]
)";
  Parser parser;
  const auto config = parser.Parse(text, 12);
  CHECK_TEXT(config.has_value(), parser.last_error().ToString().c_str());
  CHECK_EQUAL(12, config->revision);
  CHECK(config->text == text);
  CHECK_EQUAL(80, config->classes[0].priority);
  CHECK(config->classes[1].deadline == Millis(30000));
  const auto& quoting = config->services[0];
  CHECK(quoting.kind == ServiceKind::kModelPool);
  CHECK(quoting.model == "stain-quoter");
  CHECK_EQUAL(2, quoting.backend_servers.size());
  CHECK(quoting.depends_on[0].value() == "crew");
  CHECK_EQUAL(2048, quoting.max_output_tokens);
  CHECK_EQUAL(8, quoting.max_running);
  CHECK(quoting.objective.first_token == Millis(700));
  DOUBLES_EQUAL(0.9, quoting.objective.latency_share, 1e-9);
  CHECK_EQUAL(5, config->services[1].call_cost);
  const auto& acme = config->organisations[0];
  CHECK(acme.budget.value() == "acme-main");
  CHECK_EQUAL(20, acme.max_requests_per_second);
  CHECK_EQUAL(7, acme.max_concurrent);
  CHECK(acme.services[0].value() == "quoting");
}

TEST(Parser, RefusesInvalidStructure) {
  CheckRejected({
      {"", "the text is nothing"},
      {"services: [", "not YAML"},
      {"- a", "the text is a list"},
      {kServices, "line 1: organisations is missing"},
      {kOrganisations, "services is missing"},
      {kServices + kOrganisations + "colour: red\n",
       "line 3: colour is not a known key; remove it"},
      {kServices + kServices + kOrganisations,
       "line 2: \"services\" is already given in line 1"},
      {kServices + "organisations: *a\n", "not"},
      {"a: &x [1]\nb: *x\n", "line 2: aliases are not supported"},
      {kServices + kOrganisations + "---\na: 1\n", "second document"},
      {"services: 7\n" + kOrganisations, "services: is a single value"},
      {std::string(2'000'000, ' '), "too_large"},
      {std::string(40, '['), ""},
  });
}

TEST(Parser, RefusesInvalidServices) {
  CheckRejected({
      {ServicesOf("  a: {backend_servers: []}\n"),
       "line 2: services.a.kind is missing"},
      {ServicesOf("  a: {kind: pool, backend_servers: []}\n"),
       "write model_pool or plain"},
      {ServicesOf("  a: {kind: plain}\n"),
       "services.a.backend_servers is missing"},
      {ServicesOf("  a b: {kind: plain, backend_servers: []}\n"),
       "\"a b\" is not a name"},
      {ServicesOf("  a: {kind: plain, backend_servers: x}\n"),
       "write a list such as [a, b]"},
      {ServicesOf("  a: {kind: plain, backend_servers: [x, x]}\n"),
       "\"x\" is listed twice"},
      {ServicesOf("  a: {kind: model_pool, backend_servers: []}\n"),
       "services.a.model is missing"},
      {ServicesOf("  a: {kind: plain, model: m, backend_servers: []}\n"),
       "services.a.model is not a known key"},
      {ServicesOf("  a: {kind: plain, backend_servers: [x], call_cost: -1}\n"),
       "call_cost: -1 is out of range; write a whole number from 0"},
      {ServicesOf("  a: {kind: plain, backend_servers: [x], call_cost: 1.5}\n"),
       "\"1.5\" is not a whole number"},
      {ServicesOf("  a: {kind: plain, backend_servers: [x], call_cost: "
                  "99999999999999999999}\n"),
       "is out of range"},
      {ServicesOf("  a: {kind: plain, backend_servers: [x], max_running: 0}\n"),
       "max_running: 0 is out of range"},
      {ServicesOf("  a:\n    kind: plain\n    backend_servers: [x]\n"
                  "    objective: {availability: 1.5}\n"),
       "line 5: services.a.objective.availability: 1.5 is out of range"},
      {ServicesOf("  a:\n    kind: plain\n    backend_servers: [x]\n"
                  "    objective: {latency: 3}\n"),
       "services.a.objective.latency is not a known key"},
      {ServicesOf("  a: {kind: plain, backend_servers: [x]}\n"
                  "  b: {kind: plain, backend_servers: [x]}\n"),
       "line 3: services.b.backend_servers: \"x\" already belongs to "
       "services.a"},
      {ServicesOf("  a: {kind: model_pool, model: m, backend_servers: [x]}\n"
                  "  b: {kind: model_pool, model: m, backend_servers: [y]}\n"),
       "already belongs to services.a"},
      {ServicesOf("  a: {kind: plain, backend_servers: [], depends_on: [z]}\n"),
       "there is no service \"z\""},
      {ServicesOf("  a: {kind: plain, backend_servers: [], depends_on: [a]}\n"),
       "a -> a"},
      {ServicesOf("  a: {kind: plain, backend_servers: [], depends_on: [b]}\n"
                  "  b: {kind: plain, backend_servers: [], depends_on: [c]}\n"
                  "  c: {kind: plain, backend_servers: [], depends_on: [a]}\n"),
       "a -> b -> c -> a"},
      {"classes: {x: {priority: 101}}\n" + kServices + kOrganisations,
       "classes.x.priority: 101 is out of range"},
      {"classes: {x: {deadline_ms: -5}}\n" + kServices + kOrganisations,
       "deadline_ms: -5 is out of range"},
  });
}

TEST(Parser, RefusesInvalidOrganisations) {
  CheckRejected({
      {OrganisationOf("  o: {api_key_hashes: []}\n"),
       "organisations.o.budget is missing"},
      {OrganisationOf("  o: {budget: b}\n"),
       "organisations.o.api_key_hashes is missing"},
      {OrganisationOf("  o: {budget: b, api_key_hashes: [abc]}\n"),
       "not a SHA-256 digest"},
      {OrganisationOf("  o: {budget: b, api_key_hashes: [" + kHash +
                      "]}\n  p: {budget: c, api_key_hashes: [" + kHash +
                      "]}\n"),
       "already belongs to organisations.o"},
      {OrganisationOf("  o: {budget: b, api_key_hashes: []}\n"
                      "  p: {budget: b, api_key_hashes: []}\n"),
       "line 4: organisations.p.budget: \"b\" already belongs to"},
      {OrganisationOf("  o: {budget: b, api_key_hashes: [], services: [z]}\n"),
       "there is no service \"z\""},
      {OrganisationOf(
           "  o: {budget: b, api_key_hashes: [], max_concurrent: -1}\n"),
       "max_concurrent: -1 is out of range"},
      {OrganisationOf("  o: {budget: b, api_key_hashes: [], max_requests_per_"
                      "second: many}\n"),
       "\"many\" is not a whole number"},
  });
}
