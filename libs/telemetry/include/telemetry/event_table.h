#ifndef TELEMETRY_EVENT_TABLE_H_
#define TELEMETRY_EVENT_TABLE_H_

#include <vector>

#include "telemetry/event_id.h"
#include "telemetry/event_info.h"

namespace godwit::telemetry {

// The event catalogue, sorted by number.
const std::vector<EventInfo>& EventTable();

// Returns the catalogue entry of an event.
const EventInfo& InfoOf(EventId id);

}  // namespace godwit::telemetry

#endif  // TELEMETRY_EVENT_TABLE_H_
