#ifndef TELEMETRY_EVENT_INFO_H_
#define TELEMETRY_EVENT_INFO_H_

#include <string_view>

#include "telemetry/event_id.h"
#include "telemetry/level.h"

namespace godwit::telemetry {

// Entry of the catalogue of events.
struct EventInfo {
  EventId id;
  Level level;
  // Lower-case name in log lines.
  std::string_view name;
  // What happened and, where there is a use, what to do.
  std::string_view description;
};

}  // namespace godwit::telemetry

#endif  // TELEMETRY_EVENT_INFO_H_
