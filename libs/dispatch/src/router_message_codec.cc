#include "dispatch/router_message_codec.h"

#include <cmath>
#include <utility>

#include <nlohmann/json.hpp>

#include "cbor/read.h"

namespace godwit::dispatch {
namespace {

using Json = nlohmann::json;

constexpr char kLimit[] = "limit";
constexpr char kOrigin[] = "origin";
constexpr char kOriginQuery[] = "origin_query";
constexpr char kOriginReply[] = "origin_reply";
// Above the length of any key, id or version.
constexpr size_t kMaxTextBytes = 512;

// Returns no value unless the field is a text of sensible length.
std::optional<std::string> TextIn(const Json& document, const char* name) {
  auto text = cbor::Text(cbor::Find(document, name));
  return text && text->size() <= kMaxTextBytes ? text : std::nullopt;
}

// As above; the text must not be empty.
std::optional<std::string> IdIn(const Json& document, const char* name) {
  auto id = TextIn(document, name);
  return id && !id->empty() ? id : std::nullopt;
}

Json ToJson(const LimitNotice& notice) {
  Json document = {{"type", kLimit},
                   {"backend", notice.backend},
                   {"age", notice.age.count()}};
  if (notice.limit) {
    document["rate"] = *notice.limit;
  }
  return document;
}

std::optional<RouterMessage> LimitNoticeIn(const Json& document) {
  auto backend = IdIn(document, "backend");
  const auto age = cbor::Integer(cbor::Find(document, "age"));
  if (!backend || !age || *age < 0) {
    return std::nullopt;
  }
  LimitNotice notice{std::move(*backend), std::nullopt, base::Millis(*age)};
  if (const Json* const rate = cbor::Find(document, "rate")) {
    if (!rate->is_number() || !std::isfinite(rate->get<double>()) ||
        rate->get<double>() < 0) {
      return std::nullopt;
    }
    notice.limit = rate->get<double>();
  }
  return notice;
}

Json ToJson(const StreamOriginNotice& notice) {
  return {{"type", kOrigin},
          {"request", notice.request_id},
          {"version", notice.software_version}};
}

std::optional<RouterMessage> OriginNoticeIn(const Json& document) {
  auto request = IdIn(document, "request");
  auto version = TextIn(document, "version");
  if (!request || !version) {
    return std::nullopt;
  }
  return StreamOriginNotice{std::move(*request), std::move(*version)};
}

Json ToJson(const StreamOriginQuery& query) {
  return {{"type", kOriginQuery},
          {"request", query.request_id},
          {"service", query.service.value()}};
}

std::optional<RouterMessage> OriginQueryIn(const Json& document) {
  auto request = IdIn(document, "request");
  auto service = IdIn(document, "service");
  if (!request || !service) {
    return std::nullopt;
  }
  return StreamOriginQuery{std::move(*request),
                           base::ServiceId(std::move(*service))};
}

Json ToJson(const StreamOriginReply& reply) {
  return {{"type", kOriginReply},
          {"request", reply.request_id},
          {"certainty", static_cast<int64_t>(reply.origin.certainty)},
          {"version", reply.origin.software_version}};
}

std::optional<StreamOrigin::Certainty> CertaintyOf(int64_t value) {
  using Certainty = StreamOrigin::Certainty;
  for (const Certainty certainty :
       {Certainty::kUnknown, Certainty::kSeveralSeen, Certainty::kOnlyOneSeen,
        Certainty::kOnlyOneServed, Certainty::kRecorded}) {
    if (value == static_cast<int64_t>(certainty)) {
      return certainty;
    }
  }
  return std::nullopt;
}

std::optional<RouterMessage> OriginReplyIn(const Json& document) {
  auto request = IdIn(document, "request");
  auto version = TextIn(document, "version");
  const auto value = cbor::Integer(cbor::Find(document, "certainty"));
  const auto certainty = value ? CertaintyOf(*value) : std::nullopt;
  if (!request || !version || !certainty) {
    return std::nullopt;
  }
  return StreamOriginReply{std::move(*request),
                           {*certainty, std::move(*version)}};
}

}  // namespace

std::string EncodeRouterMessage(const RouterMessage& message) {
  std::string bytes;
  Json::to_cbor(std::visit([](const auto& m) { return ToJson(m); }, message),
                bytes);
  return bytes;
}

std::optional<RouterMessage> DecodeRouterMessage(std::string_view bytes) {
  const auto document = cbor::Read(bytes);
  if (!document) {
    return std::nullopt;
  }
  const auto type = cbor::Text(cbor::Find(*document, "type"));
  if (!type) {
    return std::nullopt;
  }
  if (*type == kLimit) {
    return LimitNoticeIn(*document);
  }
  if (*type == kOrigin) {
    return OriginNoticeIn(*document);
  }
  if (*type == kOriginQuery) {
    return OriginQueryIn(*document);
  }
  return *type == kOriginReply ? OriginReplyIn(*document) : std::nullopt;
}

}  // namespace godwit::dispatch
