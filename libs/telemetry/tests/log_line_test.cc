#include "telemetry/log_line.h"

#include <string>
#include <vector>

#include "base/ids.h"

#include <CppUTest/TestHarness.h>

using godwit::base::Millis;
using godwit::base::ProcessId;
using godwit::telemetry::EventId;
using godwit::telemetry::Field;

namespace {

const std::vector<Field> kFields = {
    {"peer", ProcessId("agent-7")},
    {"text", "two \"words\"\n"},
    {"count", 3},
    {"share", 0.5},
    {"whole", true},
    {"empty", ""},
};

}  // namespace

TEST_GROUP(LogLine){};

TEST(LogLine, TextQuotesSpecialCharacters) {
  STRCMP_EQUAL(
      "1970-01-01T00:00:01.005Z warning 303 link_silent process=router-1 "
      "peer=agent-7 text=\"two \\\"words\\\"\\n\" count=3 share=0.5 "
      "whole=true empty=\"\"",
      TextLine(Millis(1005), EventId::kLinkSilent, "router-1", kFields)
          .c_str());
}

TEST(LogLine, JsonKeepsTypesAndOrder) {
  STRCMP_EQUAL(
      "{\"ts\":1005,\"level\":\"warning\",\"event\":303,"
      "\"name\":\"link_silent\",\"process\":\"router-1\",\"peer\":\"agent-7\","
      "\"text\":\"two \\\"words\\\"\\n\",\"count\":3,\"share\":0.5,"
      "\"whole\":true,\"empty\":\"\"}",
      JsonLine(Millis(1005), EventId::kLinkSilent, "router-1", kFields)
          .c_str());
}

TEST(LogLine, InvalidUtf8IsReplaced) {
  const std::string line = JsonLine(Millis(0), EventId::kLinkClosed, "p",
                                    {{"reason", std::string("\xff\xfe")}});
  STRCMP_CONTAINS("\"reason\":\"\xef\xbf\xbd", line.c_str());
}
