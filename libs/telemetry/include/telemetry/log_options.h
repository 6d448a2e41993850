#ifndef TELEMETRY_LOG_OPTIONS_H_
#define TELEMETRY_LOG_OPTIONS_H_

#include <string>

#include "telemetry/level.h"
#include "telemetry/log_format.h"

namespace godwit::telemetry {

// How a process logs.
struct LogOptions {
  // Named in each line.
  std::string process;
  LogFormat format = LogFormat::kText;
  // Lines below it are left out.
  Level level = Level::kInfo;
  // Lines go to standard output instead of standard error.
  bool to_stdout = false;
};

}  // namespace godwit::telemetry

#endif  // TELEMETRY_LOG_OPTIONS_H_
