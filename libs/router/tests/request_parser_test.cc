#include <string>
#include <vector>

#include "base/error_kind.h"
#include "config/config.h"
#include "config/lookup.h"
#include "http/request.h"
#include "router/request_parser.h"

#include <CppUTest/TestHarness.h>

using godwit::base::ErrorKind;
using godwit::config::Config;
using godwit::http::Request;
using godwit::router::RequestParser;

namespace {

constexpr char kChat[] =
    R"({"model":"lantern-7b","messages":[{"role":"user","content":"hi"}],)"
    R"("stream":true,"max_tokens":16})";

Config TestConfig() {
  Config config;
  godwit::config::Service model;
  model.id = godwit::base::ServiceId("kiosk");
  model.kind = godwit::config::ServiceKind::kModelPool;
  model.model = "lantern-7b";
  model.max_output_tokens = 64;
  godwit::config::Service plain;
  plain.id = godwit::base::ServiceId("dispatch");
  config.services = {model, plain};
  godwit::config::TrafficClass normal;
  normal.name = "normal";
  config.classes = {normal};
  godwit::config::Organisation caller;
  caller.id = godwit::base::OrganisationId("keelung");
  caller.api_key_hashes = {godwit::config::HashApiKey("secret")};
  godwit::config::Organisation limited;
  limited.id = godwit::base::OrganisationId("banqiao");
  limited.api_key_hashes = {godwit::config::HashApiKey("limited")};
  limited.services = {plain.id};
  config.organisations = {caller, limited};
  return config;
}

Request ChatRequest() {
  Request request;
  request.method = "POST";
  request.target = "/v1/chat/completions";
  request.headers = {{"authorization", "Bearer secret"},
                     {"content-type", "application/json"}};
  request.body = kChat;
  return request;
}

}  // namespace

TEST_GROUP(RequestParser){};

TEST(RequestParser, ReadsAChatRequest) {
  Request request = ChatRequest();
  request.headers["idempotency-key"] = "k1";
  RequestParser parser;
  const auto parsed = parser.Parse(TestConfig(), request);
  CHECK(parsed.has_value());
  CHECK(parsed->service.value() == "kiosk");
  CHECK(parsed->organisation.value() == "keelung");
  CHECK(parsed->stream);
  CHECK(parsed->repeatable);
  CHECK(parsed->idempotency_key == "k1");
  CHECK_EQUAL(16, parsed->output_cap);
  CHECK(parsed->prompt_tokens_bound >=
        static_cast<int64_t>(request.body.size()));
}

TEST(RequestParser, DeeplyNestedChatRequestEndsTheProcessThatCopiesIt) {
  struct Case {
    size_t depth;
    bool is_accepted;
  };
  for (const Case& c : {Case{60, true}, Case{200'000, false}}) {
    Request request = ChatRequest();
    request.body.insert(1, "\"odd\":" + std::string(c.depth, '[') +
                               std::string(c.depth, ']') + ",");
    RequestParser parser;
    CHECK_EQUAL(c.is_accepted, parser.Parse(TestConfig(), request).has_value());
    CHECK(c.is_accepted || parser.last_error().kind() == ErrorKind::kMalformed);
  }
}

TEST(RequestParser, PromptsShareTheBlocksOfACommonPrefix) {
  const std::string common(600, 'c');
  std::vector<std::vector<godwit::base::Digest>> blocks;
  for (const char* end : {"x", "y"}) {
    Request request = ChatRequest();
    request.body =
        R"({"model":"lantern-7b","messages":[{"role":"user","content":")" +
        common + std::string(600, end[0]) + R"("}]})";
    blocks.push_back(
        RequestParser().Parse(TestConfig(), request)->prefix_blocks);
  }
  CHECK_EQUAL(blocks[0].size(), blocks[1].size());
  CHECK(blocks[0][1] == blocks[1][1]);
  CHECK(blocks[0].back() != blocks[1].back());
}

TEST(RequestParser, ReadsAPlainRequest) {
  Request request;
  request.method = "PUT";
  request.target = "/services/dispatch/tickets?urgent=1";
  request.headers = {{"authorization", "Bearer limited"},
                     {"godwit-repeatable", "false"}};
  RequestParser parser;
  const auto parsed = parser.Parse(TestConfig(), request);
  CHECK(parsed.has_value());
  CHECK(parsed->path == "/tickets?urgent=1");
  CHECK_FALSE(parsed->repeatable);
}

TEST(RequestParser, RefusesInvalidRequests) {
  struct Case {
    const char* name;
    ErrorKind kind;
    void (*invalidate)(Request&);
  };
  const std::vector<Case> cases = {
      {"no key", ErrorKind::kUnauthenticated,
       [](Request& r) { r.headers.erase("authorization"); }},
      {"unknown key", ErrorKind::kUnauthenticated,
       [](Request& r) { r.headers["authorization"] = "Bearer other"; }},
      {"forbidden service", ErrorKind::kForbidden,
       [](Request& r) { r.headers["authorization"] = "Bearer limited"; }},
      {"unsupported method", ErrorKind::kInvalidArgument,
       [](Request& r) { r.method = "GET"; }},
      {"unsupported content type", ErrorKind::kInvalidArgument,
       [](Request& r) { r.headers["content-type"] = "text/plain"; }},
      {"not JSON", ErrorKind::kMalformed,
       [](Request& r) { r.body = "{\"model\":"; }},
      {"not an object", ErrorKind::kMalformed,
       [](Request& r) { r.body = "[]"; }},
      {"no model", ErrorKind::kMalformed,
       [](Request& r) { r.body = R"({"messages":[]})"; }},
      {"no messages", ErrorKind::kMalformed,
       [](Request& r) { r.body = R"({"model":"lantern-7b","messages":[]})"; }},
      {"content is not a string", ErrorKind::kMalformed,
       [](Request& r) {
         r.body =
             R"({"model":"lantern-7b","messages":[{"role":"user","content":1}]})";
       }},
      {"fractional cap", ErrorKind::kMalformed,
       [](Request& r) {
         r.body = R"({"model":"lantern-7b","max_tokens":1.5,)"
                  R"("messages":[{"role":"user","content":"x"}]})";
       }},
      {"unknown model", ErrorKind::kNotFound,
       [](Request& r) {
         r.body = R"({"model":"m","messages":[{"role":"user","content":"x"}]})";
       }},
      {"unknown path", ErrorKind::kNotFound,
       [](Request& r) { r.target = "/v2"; }},
      {"unknown service", ErrorKind::kNotFound,
       [](Request& r) { r.target = "/services/nothing/"; }},
      {"model pool as plain service", ErrorKind::kNotFound,
       [](Request& r) { r.target = "/services/kiosk/"; }},
      {"unknown class", ErrorKind::kNotFound,
       [](Request& r) { r.headers["godwit-class"] = "gold"; }},
      {"long key", ErrorKind::kTooLarge,
       [](Request& r) {
         r.headers["idempotency-key"] = std::string(257, 'k');
       }},
      {"repeatable is not a boolean", ErrorKind::kInvalidArgument,
       [](Request& r) { r.headers["godwit-repeatable"] = "no"; }},
  };
  for (const Case& c : cases) {
    Request request = ChatRequest();
    c.invalidate(request);
    RequestParser parser;
    CHECK_FALSE_TEXT(parser.Parse(TestConfig(), request).has_value(), c.name);
    CHECK_TEXT(parser.last_error().kind() == c.kind, c.name);
    CHECK_TEXT(!parser.last_error().remedy().empty(), c.name);
  }
}
