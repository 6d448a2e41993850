#ifndef DISPATCH_STORED_VERSIONS_JSON_H_
#define DISPATCH_STORED_VERSIONS_JSON_H_

#include <optional>

#include <nlohmann/json.hpp>

#include "dispatch/stored_versions.h"

namespace godwit::dispatch {

nlohmann::json ToJson(const StoredVersions& versions);

// Returns no value if the document is not a list of versions.
std::optional<StoredVersions> StoredVersionsIn(const nlohmann::json& document);

}  // namespace godwit::dispatch

#endif  // DISPATCH_STORED_VERSIONS_JSON_H_
