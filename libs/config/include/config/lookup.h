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

// These functions return null when there is no match. Results are valid as long
// as `config`.
const Service* FindService(const Config& config, const base::ServiceId& id);
const Service* FindServiceByModel(const Config& config, std::string_view model);
const Service* FindServiceOfAgent(const Config& config,
                                  const base::ProcessId& agent);
const Organisation* FindOrganisation(const Config& config,
                                     const base::OrganisationId& id);
// The organisation with this API key; keys are compared by their SHA-256
// digest.
const Organisation* FindOrganisationByApiKey(const Config& config,
                                             std::string_view api_key);
// The class with that name, or the default class for an empty name.
const TrafficClass* FindClass(const Config& config, std::string_view name);

// Lower-case hex SHA-256 digest of an API key, as stored in the configuration.
std::string HashApiKey(std::string_view api_key);

}  // namespace godwit::config

#endif  // CONFIG_LOOKUP_H_
