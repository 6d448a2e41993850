#ifndef GODWITCTL_RESULT_H_
#define GODWITCTL_RESULT_H_

#include <string>

#include "base/error.h"

namespace godwit::ctl {

// Outcome of a command.
struct Result {
  // Human-readable output.
  std::string text;
  // Output of --json: one JSON value.
  std::string json;
  // kNone if the command succeeded.
  base::Error error;
  int exit_code = 0;
};

inline constexpr int kRefusedExitCode = 1;

// Result of a command that was refused or could not be executed.
Result Refused(const base::Error& error);
// Result of a command line with invalid usage.
Result UsageError(const std::string& what, const std::string& remedy);
// Result of a command that failed because the KV did not answer.
Result KvUnavailable();

}  // namespace godwit::ctl

#endif  // GODWITCTL_RESULT_H_
