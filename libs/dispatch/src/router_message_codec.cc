#include "dispatch/router_message_codec.h"

#include <cmath>
#include <utility>

#include <nlohmann/json.hpp>

#include "cbor/read.h"
#include "stored_versions_json.h"

namespace godwit::dispatch {
namespace {

using Json = nlohmann::json;

constexpr char kLimit[] = "limit";
constexpr char kOrigin[] = "origin";
constexpr char kOriginQuery[] = "origin_query";
constexpr char kOriginReply[] = "origin_reply";
constexpr char kVersions[] = "versions";
constexpr char kLoss[] = "loss";
constexpr char kLossRetraction[] = "loss_retraction";
constexpr char kContainment[] = "containment";
constexpr char kClearance[] = "clearance";
constexpr char kSuspectRun[] = "suspect_run";
// Above the length of any key, id or version.
constexpr size_t kMaxTextBytes = 512;
// Above any duration that routers state, in milliseconds.
constexpr int64_t kMaxDurationMs = int64_t{1} << 40;

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

// Numbers of certainties in messages.
constexpr std::pair<StreamOrigin::Certainty, int64_t> kCertainties[] = {
    {StreamOrigin::Certainty::kUnknown, 0},
    {StreamOrigin::Certainty::kSeveralSeen, 1},
    {StreamOrigin::Certainty::kOnlyOneSeen, 2},
    {StreamOrigin::Certainty::kOnlyOneServed, 3},
    {StreamOrigin::Certainty::kRecorded, 4},
    {StreamOrigin::Certainty::kOnlyOneUnconfirmed, 5},
};

int64_t NumberOf(StreamOrigin::Certainty certainty) {
  int64_t number = 0;
  for (const auto& [named, value] : kCertainties) {
    number = named == certainty ? value : number;
  }
  return number;
}

Json ToJson(const StreamOriginReply& reply) {
  return {{"type", kOriginReply},
          {"request", reply.request_id},
          {"certainty", NumberOf(reply.origin.certainty)},
          {"version", reply.origin.software_version}};
}

std::optional<StreamOrigin::Certainty> CertaintyOf(int64_t value) {
  for (const auto& [certainty, number] : kCertainties) {
    if (value == number) {
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

Json ToJson(const VersionsNotice& notice) {
  return {{"type", kVersions}, {"stored", ToJson(notice.stored)}};
}

std::optional<RouterMessage> VersionsNoticeIn(const Json& document) {
  const Json* const document_stored = cbor::Find(document, "stored");
  auto stored = document_stored == nullptr ? std::nullopt
                                           : StoredVersionsIn(*document_stored);
  if (!stored) {
    return std::nullopt;
  }
  return VersionsNotice{std::move(*stored)};
}

// Adds the fields of a content to a document.
void AddContent(const ContentKey& content, Json& document) {
  document["service"] = content.service.value();
  document["kind"] = static_cast<int64_t>(content.kind);
  document["id"] = content.id.ToHex();
}

std::optional<ContentKey> ContentIn(const Json& document) {
  auto service = IdIn(document, "service");
  const auto kind = cbor::Integer(cbor::Find(document, "kind"));
  const auto text = TextIn(document, "id");
  const auto id = text ? base::Digest::FromHex(*text) : std::nullopt;
  if (!service || !id || !kind) {
    return std::nullopt;
  }
  for (const ContentKey::Kind known :
       {ContentKey::Kind::kPromptPart, ContentKey::Kind::kRequest}) {
    if (*kind == static_cast<int64_t>(known)) {
      return ContentKey{base::ServiceId(std::move(*service)), known, *id};
    }
  }
  return std::nullopt;
}

// Returns no value unless the field is a duration that is not negative.
std::optional<base::Millis> DurationIn(const Json& document, const char* name) {
  const auto duration = cbor::Integer(cbor::Find(document, name));
  if (!duration || *duration < 0 || *duration > kMaxDurationMs) {
    return std::nullopt;
  }
  return base::Millis(*duration);
}

Json ToJson(const LossNotice& notice) {
  Json suspects = Json::array();
  for (const LossSuspect& suspect : notice.suspects) {
    Json entry = {{"ran_for", suspect.ran_for.count()}};
    AddContent(suspect.content, entry);
    suspects.push_back(std::move(entry));
  }
  Json document = {{"type", kLoss},
                   {"backend", notice.backend},
                   {"age", notice.age.count()},
                   {"suspects", std::move(suspects)}};
  if (notice.is_unconfirmed) {
    document["unconfirmed"] = true;
  }
  return document;
}

std::optional<RouterMessage> LossNoticeIn(const Json& document) {
  auto backend = IdIn(document, "backend");
  const auto age = DurationIn(document, "age");
  const Json* const suspects = cbor::Find(document, "suspects");
  if (!backend || !age || suspects == nullptr || !suspects->is_array()) {
    return std::nullopt;
  }
  // Missing in notices of routers whose losses all count at once.
  const Json* const is_unconfirmed = cbor::Find(document, "unconfirmed");
  if (is_unconfirmed != nullptr && !is_unconfirmed->is_boolean()) {
    return std::nullopt;
  }
  LossNotice notice{std::move(*backend),
                    *age,
                    {},
                    is_unconfirmed != nullptr && is_unconfirmed->get<bool>()};
  for (const Json& entry : *suspects) {
    auto content = ContentIn(entry);
    const auto ran_for = DurationIn(entry, "ran_for");
    if (!content || !ran_for) {
      return std::nullopt;
    }
    notice.suspects.push_back({std::move(*content), *ran_for});
  }
  return notice;
}

Json ToJson(const LossRetraction& retraction) {
  return {{"type", kLossRetraction}, {"backend", retraction.backend}};
}

std::optional<RouterMessage> LossRetractionIn(const Json& document) {
  auto backend = IdIn(document, "backend");
  if (!backend) {
    return std::nullopt;
  }
  return LossRetraction{std::move(*backend)};
}

Json ToJson(const ContainmentNotice& notice) {
  Json document = {{"type", kContainment},
                   {"first_age", notice.first_age.count()},
                   {"last_age", notice.last_age.count()},
                   {"losses", notice.losses},
                   {"remaining", notice.remaining.count()},
                   {"period", notice.period.count()},
                   {"confirmed", notice.is_confirmed}};
  AddContent(notice.content, document);
  return document;
}

std::optional<RouterMessage> ContainmentNoticeIn(const Json& document) {
  auto content = ContentIn(document);
  const auto first_age = DurationIn(document, "first_age");
  const auto last_age = DurationIn(document, "last_age");
  const auto losses = cbor::Integer(cbor::Find(document, "losses"));
  const auto remaining = DurationIn(document, "remaining");
  const auto period = DurationIn(document, "period");
  const Json* const is_confirmed = cbor::Find(document, "confirmed");
  if (!content || !first_age || !last_age || !losses || *losses < 0 ||
      !remaining || !period || is_confirmed == nullptr ||
      !is_confirmed->is_boolean()) {
    return std::nullopt;
  }
  return ContainmentNotice{std::move(*content),
                           *first_age,
                           *last_age,
                           *losses,
                           *remaining,
                           *period,
                           is_confirmed->get<bool>()};
}

Json ToJson(const ClearanceNotice& notice) {
  Json document = {{"type", kClearance},
                   {"age", notice.age.count()},
                   {"broadcast", notice.is_broadcast}};
  AddContent(notice.content, document);
  return document;
}

std::optional<RouterMessage> ClearanceNoticeIn(const Json& document) {
  auto content = ContentIn(document);
  const auto age = DurationIn(document, "age");
  const Json* const is_broadcast = cbor::Find(document, "broadcast");
  if (!content || !age || is_broadcast == nullptr ||
      !is_broadcast->is_boolean()) {
    return std::nullopt;
  }
  return ClearanceNotice{std::move(*content), *age, is_broadcast->get<bool>()};
}

Json ToJson(const SuspectRunNotice& notice) {
  Json document = {{"type", kSuspectRun}};
  AddContent(notice.content, document);
  return document;
}

std::optional<RouterMessage> SuspectRunNoticeIn(const Json& document) {
  auto content = ContentIn(document);
  if (!content) {
    return std::nullopt;
  }
  return SuspectRunNotice{std::move(*content)};
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
  if (*type == kOriginReply) {
    return OriginReplyIn(*document);
  }
  if (*type == kVersions) {
    return VersionsNoticeIn(*document);
  }
  if (*type == kLoss) {
    return LossNoticeIn(*document);
  }
  if (*type == kLossRetraction) {
    return LossRetractionIn(*document);
  }
  if (*type == kContainment) {
    return ContainmentNoticeIn(*document);
  }
  if (*type == kClearance) {
    return ClearanceNoticeIn(*document);
  }
  return *type == kSuspectRun ? SuspectRunNoticeIn(*document) : std::nullopt;
}

}  // namespace godwit::dispatch
