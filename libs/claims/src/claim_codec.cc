#include "claims/claim_codec.h"

#include <utility>

#include <nlohmann/json.hpp>

#include "cbor/read.h"

namespace godwit::claims {
namespace {

using cbor::Find;
using cbor::Integer;
using cbor::Text;
using Json = nlohmann::json;

constexpr int64_t kFormat = 1;
constexpr size_t kClaimFields = 4;

Json ToJson(const Claim& claim) {
  return Json::array({claim.body_digest.ToHex(), claim.attempt.value(),
                      claim.agent.value(), claim.at.count()});
}

std::optional<base::Digest> ReadDigest(const Json& value) {
  const auto text = Text(&value);
  return text ? base::Digest::FromHex(*text) : std::nullopt;
}

bool ReadClaim(const Json& value, Claim& into) {
  if (!value.is_array() || value.size() != kClaimFields) {
    return false;
  }
  const auto body_digest = ReadDigest(value[0]);
  auto attempt = Text(&value[1]);
  auto agent = Text(&value[2]);
  const auto at = Integer(&value[3]);
  if (!body_digest || !attempt || !agent || !at) {
    return false;
  }
  into = Claim{*body_digest, base::AttemptId(std::move(*attempt)),
               base::Incarnation(std::move(*agent)), base::Millis(*at)};
  return true;
}

bool ReadClaims(const Json* object, ClaimRecord& into) {
  if (object == nullptr || !object->is_object()) {
    return false;
  }
  for (const auto& [name, member] : object->items()) {
    const auto key = base::Digest::FromHex(name);
    if (!key || !ReadClaim(member, into.claims[*key])) {
      return false;
    }
  }
  return true;
}

}  // namespace

std::string ClaimCodec::Encode(const ClaimRecord& record) const {
  Json claims = Json::object();
  for (const auto& [key, claim] : record.claims) {
    claims[key.ToHex()] = ToJson(claim);
  }
  const Json document = {{"format", kFormat},
                         {"write", record.write.value()},
                         {"claims", std::move(claims)}};
  std::string bytes;
  Json::to_cbor(document, bytes);
  return bytes;
}

std::optional<ClaimRecord> ClaimCodec::Decode(std::string_view bytes) {
  ClaimRecord record;
  if (bytes.empty()) {
    return record;
  }
  const auto document = cbor::Read(bytes);
  auto write = document ? Text(Find(*document, "write")) : std::nullopt;
  if (!write || Integer(Find(*document, "format")) != kFormat ||
      !ReadClaims(Find(*document, "claims"), record)) {
    error_ =
        base::Error(base::ErrorKind::kCorrupt, "the claim record can't be read",
                    "restore the record from its last sound version");
    return std::nullopt;
  }
  record.write = base::WriteId(std::move(*write));
  return record;
}

}  // namespace godwit::claims
