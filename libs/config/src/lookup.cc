#include "config/lookup.h"

#include <algorithm>
#include <array>

#include <openssl/sha.h>

#include "config/config.h"

namespace godwit::config {
namespace {

constexpr char kHexDigits[] = "0123456789abcdef";

// The first element that satisfies the predicate, or null.
template <typename Value, typename Predicate>
const Value* FindIf(const std::vector<Value>& values, Predicate predicate) {
  const auto found = std::find_if(values.begin(), values.end(), predicate);
  return found == values.end() ? nullptr : &*found;
}

template <typename Value>
bool Contains(const std::vector<Value>& values, const Value& value) {
  return std::find(values.begin(), values.end(), value) != values.end();
}

}  // namespace

const Service* FindService(const Config& config, const base::ServiceId& id) {
  return FindIf(config.services,
                [&](const Service& service) { return service.id == id; });
}

const Service* FindServiceByModel(const Config& config,
                                  std::string_view model) {
  return FindIf(config.services, [&](const Service& service) {
    return service.kind == ServiceKind::kModelPool && service.model == model;
  });
}

const Service* FindServiceOfAgent(const Config& config,
                                  const base::ProcessId& agent) {
  return FindIf(config.services, [&](const Service& service) {
    return Contains(service.backend_servers, agent);
  });
}

const Organisation* FindOrganisation(const Config& config,
                                     const base::OrganisationId& id) {
  return FindIf(config.organisations, [&](const Organisation& organisation) {
    return organisation.id == id;
  });
}

const Organisation* FindOrganisationByApiKey(const Config& config,
                                             std::string_view api_key) {
  const std::string hash = HashApiKey(api_key);
  return FindIf(config.organisations, [&](const Organisation& organisation) {
    return Contains(organisation.api_key_hashes, hash);
  });
}

const TrafficClass* FindClass(const Config& config, std::string_view name) {
  if (name.empty()) {
    return config.classes.empty() ? nullptr : &config.classes.front();
  }
  return FindIf(config.classes, [&](const TrafficClass& traffic_class) {
    return traffic_class.name == name;
  });
}

std::string HashApiKey(std::string_view api_key) {
  std::array<unsigned char, SHA256_DIGEST_LENGTH> hash{};
  SHA256(reinterpret_cast<const unsigned char*>(api_key.data()), api_key.size(),
         hash.data());
  std::string text;
  for (const unsigned char byte : hash) {
    text += kHexDigits[byte >> 4U];
    text += kHexDigits[byte & 0xFU];
  }
  return text;
}

}  // namespace godwit::config
