#ifndef TELEMETRY_EVENT_INFO_H_
#define TELEMETRY_EVENT_INFO_H_

#include <string_view>

#include "telemetry/event_id.h"
#include "telemetry/level.h"

namespace godwit::telemetry {

// Entry of the event catalogue.
struct EventInfo {
  EventId id;
  Level level;
  // Lower-case name used in log lines.
  std::string_view name;
  // What happened and, where applicable, what the operator should do.
  std::string_view description;
};

}  // namespace godwit::telemetry

#endif  // TELEMETRY_EVENT_INFO_H_
