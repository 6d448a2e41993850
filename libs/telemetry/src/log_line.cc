#include "telemetry/log_line.h"

#include <cstdio>
#include <ctime>

#include <nlohmann/json.hpp>

#include "telemetry/event_table.h"

namespace godwit::telemetry {
namespace {

constexpr int64_t kMillisPerSecond = 1000;

std::string TimeText(base::Millis wall) {
  const std::time_t seconds = wall.count() / kMillisPerSecond;
  std::tm utc{};
  gmtime_r(&seconds, &utc);
  char date[32];
  std::strftime(date, sizeof(date), "%Y-%m-%dT%H:%M:%S", &utc);
  char millis[8];
  std::snprintf(millis, sizeof(millis), ".%03dZ",
                static_cast<int>(wall.count() % kMillisPerSecond));
  return std::string(date) + millis;
}

nlohmann::json ToJson(const Field::Value& value) {
  return std::visit([](const auto& v) { return nlohmann::json(v); }, value);
}

std::string Dump(const nlohmann::json& json) {
  return json.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
}

// Values with spaces, quotes or control characters are quoted.
std::string ValueText(const Field::Value& value) {
  const auto* text = std::get_if<std::string>(&value);
  if (text == nullptr) {
    return Dump(ToJson(value));
  }
  const bool plain = !text->empty() &&
                     text->find_first_of(" \"=\\") == std::string::npos &&
                     Dump(*text).size() == text->size() + 2;
  return plain ? *text : Dump(*text);
}

}  // namespace

std::string TextLine(base::Millis wall,
                     EventId id,
                     const std::string& process,
                     const std::vector<Field>& fields) {
  const EventInfo& info = InfoOf(id);
  std::string line = TimeText(wall);
  line += " ";
  line += LevelName(info.level);
  line += " " + std::to_string(static_cast<int>(id)) + " ";
  line += info.name;
  line += " process=" + ValueText(process);
  for (const Field& field : fields) {
    line += " " + field.key() + "=" + ValueText(field.value());
  }
  return line;
}

std::string JsonLine(base::Millis wall,
                     EventId id,
                     const std::string& process,
                     const std::vector<Field>& fields) {
  const EventInfo& info = InfoOf(id);
  nlohmann::ordered_json line;
  line["ts"] = wall.count();
  line["level"] = LevelName(info.level);
  line["event"] = static_cast<int>(id);
  line["name"] = info.name;
  line["process"] = process;
  for (const Field& field : fields) {
    std::visit([&](const auto& v) { line[field.key()] = v; }, field.value());
  }
  return line.dump(-1, ' ', false,
                   nlohmann::ordered_json::error_handler_t::replace);
}

}  // namespace godwit::telemetry
