#ifndef TELEMETRY_LOG_FORMAT_H_
#define TELEMETRY_LOG_FORMAT_H_

#include <cstdint>

namespace godwit::telemetry {

// Format of log lines.
enum class LogFormat : uint8_t { kText, kJson };

}  // namespace godwit::telemetry

#endif  // TELEMETRY_LOG_FORMAT_H_
