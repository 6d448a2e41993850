#include <array>
#include <string>

#include "cbor/read.h"

#include <CppUTest/TestHarness.h>

using godwit::cbor::Find;
using godwit::cbor::Integer;
using godwit::cbor::Read;
using godwit::cbor::Text;

TEST_GROUP(Cbor){};

TEST(Cbor, ReadsOnlyBoundedCompleteDocuments) {
  struct Case {
    const char* name;
    std::string bytes;
    bool valid;
  };
  const std::array<Case, 7> cases = {{
      {"empty", "", false},
      {"array", "\x82\x01\x02", true},
      {"truncated", "\x82\x01", false},
      {"trailing", std::string("\x01\x01"), false},
      {"nested without end", std::string(1000000, '\x81'), false},
      {"huge count", "\x9b\x7f\xff\xff\xff\xff\xff\xff\xff", false},
      {"bytes", std::string("\x41\x00", 2), false},
  }};
  for (const Case& c : cases) {
    CHECK_EQUAL_TEXT(c.valid, Read(c.bytes).has_value(), c.name);
  }
}

TEST(Cbor, FieldsHaveTheirTypes) {
  const nlohmann::json object = {{"n", -3},
                                 {"big", 18446744073709551615ULL},
                                 {"half", 0.5},
                                 {"text", "quote"}};
  CHECK(Integer(Find(object, "n")) == -3);
  CHECK(!Integer(Find(object, "big")));
  CHECK(!Integer(Find(object, "half")));
  CHECK(!Integer(Find(object, "missing")));
  CHECK(Text(Find(object, "text")) == "quote");
  CHECK(!Text(Find(object, "n")));
}
