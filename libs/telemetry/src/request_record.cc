#include "telemetry/request_record.h"

#include <array>
#include <utility>

#include <nlohmann/json.hpp>

#include "telemetry/log.h"

namespace godwit::telemetry {
namespace {

using nlohmann::json;

constexpr std::array<std::pair<RequestOutcome, std::string_view>, 3>
    kOutcomeNames = {{
        {RequestOutcome::kAnswer, "answer"},
        {RequestOutcome::kNotRun, "not_run"},
        {RequestOutcome::kOutcomeUnknown, "outcome_unknown"},
    }};

// Start of the year 10000, in Unix time; later times are rejected.
constexpr base::Millis kMaxWallTime = base::Seconds(253'402'300'800);

std::optional<std::string> TextOf(const json& line, const char* key) {
  const auto found = line.find(key);
  if (found == line.end() || !found->is_string()) {
    return std::nullopt;
  }
  return found->get<std::string>();
}

std::optional<int64_t> NumberOf(const json& line, const char* key) {
  const auto found = line.find(key);
  if (found == line.end() || !found->is_number_integer()) {
    return std::nullopt;
  }
  return found->get<int64_t>();
}

std::optional<base::Millis> MillisOf(const json& line, const char* key) {
  const auto count = NumberOf(line, key);
  return count ? std::optional(base::Millis(*count)) : std::nullopt;
}

}  // namespace

std::string_view RequestOutcomeName(RequestOutcome outcome) noexcept {
  for (const auto& [value, name] : kOutcomeNames) {
    if (value == outcome) {
      return name;
    }
  }
  return "unknown";
}

std::optional<RequestOutcome> RequestOutcomeOf(std::string_view name) noexcept {
  for (const auto& [value, known] : kOutcomeNames) {
    if (known == name) {
      return value;
    }
  }
  return std::nullopt;
}

std::vector<Field> FieldsOf(const RequestRecord& record) {
  std::vector<Field> fields = {
      {"service", record.service},
      {"organisation", record.organisation},
      {"class", record.traffic_class},
      {"outcome", RequestOutcomeName(record.outcome)},
      {"kind", record.kind},
      {"status", record.status},
      {"total_ms", record.total},
      {"tokens", record.tokens},
  };
  if (record.first_token) {
    fields.emplace_back("first_token_ms", *record.first_token);
  }
  if (record.gap_p95) {
    fields.emplace_back("gap_p95_ms", *record.gap_p95);
  }
  return fields;
}

void LogRequest(const RequestRecord& record) {
  Log(EventId::kRequestEnded, FieldsOf(record));
}

std::optional<RequestRecord> RequestRecordOf(std::string_view line) {
  const json parsed = json::parse(line, nullptr, false);
  if (!parsed.is_object() || NumberOf(parsed, "event") !=
                                 static_cast<int64_t>(EventId::kRequestEnded)) {
    return std::nullopt;
  }
  const auto wall = MillisOf(parsed, "ts");
  const auto service = TextOf(parsed, "service");
  const auto organisation = TextOf(parsed, "organisation");
  const auto outcome_name = TextOf(parsed, "outcome");
  const auto kind = TextOf(parsed, "kind");
  const auto total = MillisOf(parsed, "total_ms");
  if (!wall || !service || !organisation || !outcome_name || !kind || !total) {
    return std::nullopt;
  }
  const auto outcome = RequestOutcomeOf(*outcome_name);
  if (!outcome || *wall < base::Millis() || *wall > kMaxWallTime) {
    return std::nullopt;
  }
  RequestRecord record;
  record.wall = *wall;
  record.service = base::ServiceId(*service);
  record.organisation = base::OrganisationId(*organisation);
  record.traffic_class = TextOf(parsed, "class").value_or("");
  record.outcome = *outcome;
  record.kind = *kind;
  record.status = NumberOf(parsed, "status").value_or(0);
  record.first_token = MillisOf(parsed, "first_token_ms");
  record.gap_p95 = MillisOf(parsed, "gap_p95_ms");
  record.total = *total;
  record.tokens = NumberOf(parsed, "tokens").value_or(0);
  return record;
}

}  // namespace godwit::telemetry
