#include "dispatch/router_message_codec.h"

#include <limits>
#include <string>
#include <vector>

#include <nlohmann/json.hpp>

#include <CppUTest/TestHarness.h>

using godwit::base::Digest;
using godwit::base::Millis;
using godwit::base::ServiceId;
using godwit::dispatch::ClearanceNotice;
using godwit::dispatch::ContainmentNotice;
using godwit::dispatch::ContentKey;
using godwit::dispatch::DecodeRouterMessage;
using godwit::dispatch::EncodeRouterMessage;
using godwit::dispatch::LimitNotice;
using godwit::dispatch::LossNotice;
using godwit::dispatch::LossRetraction;
using godwit::dispatch::RouterMessage;
using godwit::dispatch::StreamOrigin;
using godwit::dispatch::StreamOriginNotice;
using godwit::dispatch::StreamOriginQuery;
using godwit::dispatch::StreamOriginReply;
using godwit::dispatch::SuspectRunNotice;
using godwit::dispatch::VersionsNotice;
using Json = nlohmann::json;

namespace {

const ContentKey kPart = {ServiceId("model"), ContentKey::Kind::kPromptPart,
                          Digest(0, 0xfedcba9876543210)};

const ContentKey kRequest = {ServiceId("model"), ContentKey::Kind::kRequest,
                             Digest(7, 9)};

std::string Cbor(const Json& document) {
  std::string bytes;
  Json::to_cbor(document, bytes);
  return bytes;
}

}  // namespace

TEST_GROUP(RouterMessageCodec){};

TEST(RouterMessageCodec, MessagesRoundTripAndTruncatedOnesAreRejected) {
  const std::vector<RouterMessage> messages = {
      LimitNotice{"s1@7", 1.2, Millis(30)},
      LimitNotice{"s1@7", 0.0, Millis(0)},
      LimitNotice{"s1@7", std::nullopt, Millis(4000)},
      StreamOriginNotice{"9c41", "v1.1"},
      StreamOriginNotice{"9c41", ""},
      StreamOriginQuery{"9c41", ServiceId("model")},
      StreamOriginReply{"9c41", {StreamOrigin::Certainty::kUnknown, ""}},
      StreamOriginReply{"9c41", {StreamOrigin::Certainty::kRecorded, "v1"}},
      StreamOriginReply{"9c41",
                        {StreamOrigin::Certainty::kOnlyOneUnconfirmed, "v1"}},
      VersionsNotice{{3, {{ServiceId("model"), {"", "v1"}}}}},
      LossNotice{"s1@7", Millis(3), {}},
      LossNotice{"s1@7", Millis(0), {{kPart, Millis(0)}, {kPart, Millis(90)}}},
      LossNotice{"s1@7", Millis(0), {{kRequest, Millis(5)}}},
      LossNotice{"s1@7", Millis(0), {{kRequest, Millis(5)}}, true},
      LossRetraction{"s1@7"},
      ContainmentNotice{kPart, Millis(900), Millis(3), 3, Millis(60'000),
                        Millis(60'000), false},
      ContainmentNotice{kRequest, Millis(0), Millis(0), 5, Millis(0),
                        Millis(60'000), true},
      ClearanceNotice{kPart, Millis(4), true},
      ClearanceNotice{kPart, Millis(0), false},
      SuspectRunNotice{kRequest}};
  for (const RouterMessage& message : messages) {
    const std::string bytes = EncodeRouterMessage(message);
    CHECK(DecodeRouterMessage(bytes) == message);
    for (size_t size = 0; size < bytes.size(); ++size) {
      CHECK(!DecodeRouterMessage(bytes.substr(0, size)));
    }
  }
}

TEST(RouterMessageCodec, RejectsMalformedLimitNotices) {
  struct Case {
    const char* name;
    const char* field;
    Json value;
  };
  const std::vector<Case> cases = {
      {"type", "type", "ask"},
      {"no server", "backend", ""},
      {"server is a number", "backend", 7},
      {"long server", "backend", std::string(10'000, 's')},
      {"negative age", "age", -1},
      {"age is text", "age", "1"},
      {"negative rate", "rate", -0.5},
      {"infinite rate", "rate", std::numeric_limits<double>::infinity()},
      {"not a number", "rate", std::numeric_limits<double>::quiet_NaN()},
      {"rate is text", "rate", "2"},
  };
  for (const Case& c : cases) {
    Json document = {
        {"type", "limit"}, {"backend", "s1@7"}, {"rate", 2.5}, {"age", 1}};
    CHECK_TEXT(DecodeRouterMessage(Cbor(document)).has_value(), c.name);
    document[c.field] = c.value;
    CHECK_TEXT(!DecodeRouterMessage(Cbor(document)).has_value(), c.name);
  }
}

TEST(RouterMessageCodec, RejectsMalformedStreamOrigins) {
  struct Case {
    const char* type;
    const char* field;
    Json value;
  };
  const std::vector<Case> cases = {
      {"origin", "request", ""},
      {"origin", "request", 1},
      {"origin", "version", 1},
      {"origin", "version", std::string(10'000, 'v')},
      {"origin_query", "request", std::string(10'000, 'r')},
      {"origin_query", "service", ""},
      {"origin_reply", "certainty", -1},
      {"origin_reply", "certainty", 6},
      {"origin_reply", "certainty", "3"},
      {"origin_reply", "version", nullptr},
  };
  for (const Case& c : cases) {
    Json document = {{"type", c.type},
                     {"request", "9c41"},
                     {"service", "model"},
                     {"version", "v1"},
                     {"certainty", 3}};
    CHECK_TEXT(DecodeRouterMessage(Cbor(document)).has_value(), c.type);
    document[c.field] = c.value;
    CHECK_TEXT(!DecodeRouterMessage(Cbor(document)).has_value(), c.field);
  }
}

TEST(RouterMessageCodec, RejectsMalformedNoticesOfContents) {
  struct Case {
    const char* type;
    const char* field;
    Json value;
  };
  const std::vector<Case> cases = {
      {"loss", "backend", ""},
      {"loss", "age", -1},
      {"loss", "age", int64_t{1} << 62},
      {"loss", "suspects", 1},
      {"loss", "suspects", {1}},
      {"loss", "suspects", {{{"ran_for", 1}}}},
      {"loss_retraction", "backend", 7},
      {"containment", "service", ""},
      {"containment", "service", std::string(10'000, 's')},
      {"containment", "kind", 0},
      {"containment", "kind", 99},
      {"containment", "kind", "1"},
      {"containment", "id", "0123"},
      {"containment", "id", std::string(32, 'x')},
      {"containment", "id", 7},
      {"containment", "losses", -1},
      {"containment", "first_age", -1},
      {"containment", "last_age", "1"},
      {"containment", "remaining", -5},
      {"containment", "period", nullptr},
      {"containment", "confirmed", 1},
      {"suspect_run", "id", ""},
      {"clearance", "id", ""},
      {"clearance", "age", -1},
      {"clearance", "broadcast", 1},
  };
  for (const Case& c : cases) {
    Json document = {{"type", c.type},
                     {"backend", "s1@7"},
                     {"age", 1},
                     {"suspects", Json::array()},
                     {"service", "model"},
                     {"kind", 1},
                     {"id", std::string(32, 'a')},
                     {"first_age", 9},
                     {"last_age", 3},
                     {"losses", 3},
                     {"remaining", 60'000},
                     {"period", 60'000},
                     {"confirmed", true},
                     {"broadcast", true}};
    CHECK_TEXT(DecodeRouterMessage(Cbor(document)).has_value(), c.type);
    document[c.field] = c.value;
    CHECK_TEXT(!DecodeRouterMessage(Cbor(document)).has_value(), c.field);
  }
}
