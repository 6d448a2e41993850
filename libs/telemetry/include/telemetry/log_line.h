#ifndef TELEMETRY_LOG_LINE_H_
#define TELEMETRY_LOG_LINE_H_

#include <string>
#include <vector>

#include "base/millis.h"
#include "telemetry/event_id.h"
#include "telemetry/field.h"

namespace godwit::telemetry {

// Formats one log line, without a trailing newline. `wall` is the time since
// the Unix epoch.
std::string TextLine(base::Millis wall,
                     EventId id,
                     const std::string& process,
                     const std::vector<Field>& fields);
std::string JsonLine(base::Millis wall,
                     EventId id,
                     const std::string& process,
                     const std::vector<Field>& fields);

}  // namespace godwit::telemetry

#endif  // TELEMETRY_LOG_LINE_H_
