#include "dispatch/stored_versions.h"

#include "cbor/read.h"
#include "stored_versions_json.h"

namespace godwit::dispatch {
namespace {

constexpr int64_t kNoEra = -1;

}  // namespace

nlohmann::json ToJson(const StoredVersions& versions) {
  nlohmann::json services = nlohmann::json::object();
  for (const auto& [service, names] : versions.services) {
    services[service.value()] = names;
  }
  return {{"era", versions.era}, {"services", services}};
}

std::optional<StoredVersions> StoredVersionsIn(const nlohmann::json& document) {
  const auto era = cbor::Integer(cbor::Find(document, "era"));
  const nlohmann::json* const services = cbor::Find(document, "services");
  if (!era || *era < 0 || services == nullptr || !services->is_object()) {
    return std::nullopt;
  }
  StoredVersions versions{*era, {}};
  for (const auto& [service, names] : services->items()) {
    if (service.empty() || !names.is_array()) {
      return std::nullopt;
    }
    auto& stored = versions.services[base::ServiceId(service)];
    for (const nlohmann::json& name : names) {
      const auto version = cbor::Text(&name);
      if (!version) {
        return std::nullopt;
      }
      stored.insert(*version);
    }
  }
  return versions;
}

std::string StoredVersionsCodec::Encode(const StoredVersions& versions) const {
  std::string bytes;
  nlohmann::json::to_cbor(ToJson(versions), bytes);
  return bytes;
}

std::optional<StoredVersions> StoredVersionsCodec::Decode(
    std::string_view bytes) const {
  const auto document = bytes.empty() ? std::nullopt : cbor::Read(bytes);
  auto versions = document ? StoredVersionsIn(*document) : std::nullopt;
  return versions ? versions : StoredVersions{kNoEra, {}};
}

}  // namespace godwit::dispatch
