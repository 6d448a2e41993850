#ifndef TELEMETRY_LEVEL_H_
#define TELEMETRY_LEVEL_H_

#include <cstdint>
#include <optional>
#include <string_view>

namespace godwit::telemetry {

// Severity of a log entry, in ascending order.
enum class Level : uint8_t { kDebug, kInfo, kWarning, kError };

// Lower-case name such as "warning".
std::string_view LevelName(Level level) noexcept;
// Returns the level with that name, or nullopt for an unknown name.
std::optional<Level> LevelOf(std::string_view name) noexcept;

}  // namespace godwit::telemetry

#endif  // TELEMETRY_LEVEL_H_
