#include "telemetry/level.h"

namespace godwit::telemetry {

std::string_view LevelName(Level level) noexcept {
  switch (level) {
    case Level::kDebug:
      return "debug";
    case Level::kInfo:
      return "info";
    case Level::kWarning:
      return "warning";
    case Level::kError:
      return "error";
  }
  return "unknown";
}

std::optional<Level> LevelOf(std::string_view name) noexcept {
  for (const Level level :
       {Level::kDebug, Level::kInfo, Level::kWarning, Level::kError}) {
    if (LevelName(level) == name) {
      return level;
    }
  }
  return std::nullopt;
}

}  // namespace godwit::telemetry
