#ifndef TELEMETRY_LOG_H_
#define TELEMETRY_LOG_H_

#include <cstdint>
#include <vector>

#include "telemetry/event_id.h"
#include "telemetry/field.h"

namespace godwit::telemetry {

struct LogOptions;

// Starts logging. Lines are written by a thread of their own; when
// it falls behind, lines are dropped. Call once, before threads start; events
// logged earlier are lost.
void StartLogging(const LogOptions& options);

// Writes what is queued and ends logging. Call once.
void StopLogging();

// Logs an event with its fields. Any thread; does not block.
void Log(EventId id, const std::vector<Field>& fields = {});

// Lines dropped since the start. Any thread.
int64_t DroppedLogLines() noexcept;

}  // namespace godwit::telemetry

#endif  // TELEMETRY_LOG_H_
