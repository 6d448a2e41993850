#ifndef TELEMETRY_LOG_OPTIONS_H_
#define TELEMETRY_LOG_OPTIONS_H_

#include <string>

#include "telemetry/level.h"
#include "telemetry/log_format.h"

namespace godwit::telemetry {

// Options of the log of a process.
struct LogOptions {
  // Process name, included in each line.
  std::string process;
  LogFormat format = LogFormat::kText;
  // Events below this level are not logged.
  Level level = Level::kInfo;
  // If true, log to standard output instead of standard error.
  bool to_stdout = false;
};

}  // namespace godwit::telemetry

#endif  // TELEMETRY_LOG_OPTIONS_H_
