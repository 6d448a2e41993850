#ifndef CONFIG_LOOKUP_H_
#define CONFIG_LOOKUP_H_

#include <string>
#include <string_view>

#include "base/ids.h"

namespace godwit::config {

struct Config;
struct Organisation;
struct Service;
struct TrafficClass;

// Each returns null when there is none; results live as long as `config`.
const Service* FindService(const Config& config, const base::ServiceId& id);
const Service* FindServiceByModel(const Config& config, std::string_view model);
const Service* FindServiceOfAgent(const Config& config,
                                  const base::ProcessId& agent);
const Organisation* FindOrganisation(const Config& config,
                                     const base::OrganisationId& id);
// The organisation that accepts this API key, compared by SHA-256.
const Organisation* FindOrganisationByApiKey(const Config& config,
                                             std::string_view api_key);
// The class of that name, or the default class for an empty name.
const TrafficClass* FindClass(const Config& config, std::string_view name);

// Lower-case hex SHA-256 of an API key, as the configuration holds it.
std::string HashApiKey(std::string_view api_key);

}  // namespace godwit::config

#endif  // CONFIG_LOOKUP_H_
