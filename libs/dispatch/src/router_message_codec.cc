#include "dispatch/router_message_codec.h"

#include <cmath>
#include <utility>

#include <nlohmann/json.hpp>

#include "cbor/read.h"

namespace godwit::dispatch {
namespace {

using Json = nlohmann::json;

constexpr char kLimit[] = "limit";
// Above the length of any key of a backend server.
constexpr size_t kMaxKeyBytes = 512;

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
  auto backend = cbor::Text(cbor::Find(document, "backend"));
  const auto age = cbor::Integer(cbor::Find(document, "age"));
  if (!backend || backend->empty() || backend->size() > kMaxKeyBytes || !age ||
      *age < 0) {
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
  if (type && *type == kLimit) {
    return LimitNoticeIn(*document);
  }
  return std::nullopt;
}

}  // namespace godwit::dispatch
