#include "source_reader.h"

#include <nlohmann/json.hpp>

#include "collector.h"
#include "scrape.h"
#include "telemetry/event_id.h"
#include "telemetry/request_record.h"

namespace godwit::report {
namespace {

using base::Error;
using base::ErrorKind;
using nlohmann::json;

// Returns true for a complete log line of another event.
bool IsOtherEvent(const std::string& line) {
  const json parsed = json::parse(line, nullptr, false);
  return parsed.is_object() && parsed.contains("event") &&
         parsed["event"] != static_cast<int>(telemetry::EventId::kRequestEnded);
}

}  // namespace

SourceStatus SourceReader::Read(const std::string& name, std::istream& stream) {
  SourceStatus status;
  status.name = name;
  int64_t lines = 0;
  int64_t events = 0;
  for (std::string line; std::getline(stream, line);) {
    if (line.empty()) {
      continue;
    }
    if (lines == 0 && IsScrapeLine(line)) {
      ReadScrape(line, stream, collector_, status);
      return status;
    }
    ++lines;
    if (const auto record = telemetry::RequestRecordOf(line)) {
      collector_.Add(*record);
      ++status.requests;
      ++events;
    } else if (IsOtherEvent(line)) {
      ++events;
    } else {
      ++status.damaged_lines;
    }
  }
  if (lines > 0 && events == 0) {
    status.error =
        Error(ErrorKind::kMalformed, "no line is a JSON log line or a metric",
              "set log_format: json at the router, or give a scrape");
  }
  return status;
}

}  // namespace godwit::report
