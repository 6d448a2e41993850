#include "relay/header_list.h"

#include <string>
#include <vector>

#include <CppUTest/TestHarness.h>

using godwit::relay::HeaderList;
using godwit::relay::IsHopByHop;

namespace {

HeaderList Sample() {
  HeaderList headers;
  headers.Add("Host", "a.example");
  headers.Add("Connection", "keep-alive, X-Local");
  headers.Add("X-Local", "1");
  headers.Add("x-kept", "2");
  return headers;
}

}  // namespace

TEST_GROUP(HeaderList){};

TEST(HeaderList, ComparesNamesWithoutRegardToCase) {
  const HeaderList headers = Sample();
  CHECK(headers.Find("HOST") == std::string_view("a.example"));
  CHECK(!headers.Find("Hos"));
  CHECK_EQUAL(1, headers.Count("X-KEPT"));
  CHECK(headers.HasToken("connection", "x-local"));
  CHECK(!headers.HasToken("connection", "close"));
}

TEST(HeaderList, ReadsTheMediaType) {
  struct Case {
    const char* content_type;
    const char* expected;
  };
  const std::vector<Case> cases = {
      {"text/event-stream", "text/event-stream"},
      {"Text/Event-Stream ; charset=utf-8", "text/event-stream"},
      {" text/plain", "text/plain"},
      {"", ""},
      {";", ""},
  };
  for (const Case& c : cases) {
    STRCMP_EQUAL_TEXT(c.expected,
                      godwit::relay::MediaType(c.content_type).c_str(),
                      c.content_type);
  }
}

TEST(HeaderList, RecognisesHopByHopHeaders) {
  struct Case {
    const char* name;
    bool expected;
  };
  const std::vector<Case> cases = {
      {"Connection", true}, {"keep-alive", true}, {"Transfer-Encoding", true},
      {"Upgrade", true},    {"X-Local", true},    {"X-Kept", false},
      {"Host", false}};
  const HeaderList headers = Sample();
  for (const Case& c : cases) {
    CHECK_EQUAL_TEXT(c.expected, IsHopByHop(headers, c.name), c.name);
  }
}
