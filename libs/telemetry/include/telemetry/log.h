#ifndef TELEMETRY_LOG_H_
#define TELEMETRY_LOG_H_

#include <cstdint>
#include <vector>

#include "telemetry/event_id.h"
#include "telemetry/field.h"

namespace godwit::telemetry {

struct LogOptions;

// Starts logging. A separate thread writes the lines; lines are dropped when
// its queue is full. Call once, before other threads start; events logged
// earlier are lost.
void StartLogging(const LogOptions& options);

// Writes the queued lines and stops logging. Call once.
void StopLogging();

// Logs an event with its fields. Callable from any thread; does not block.
void Log(EventId id, const std::vector<Field>& fields = {});

// Number of lines dropped since the start. Callable from any thread.
int64_t DroppedLogLines() noexcept;

}  // namespace godwit::telemetry

#endif  // TELEMETRY_LOG_H_
