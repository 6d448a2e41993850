#ifndef GODWITCTL_RESULT_H_
#define GODWITCTL_RESULT_H_

#include <string>

#include "base/error.h"

namespace godwit::ctl {

// Outcome of a command.
struct Result {
  // For a reader.
  std::string text;
  // For a program: one JSON value.
  std::string json;
  // kNone when the command succeeded.
  base::Error error;
  int exit_code = 0;
};

inline constexpr int kRefusedExitCode = 1;

// The result of a command that was refused or could not be carried out.
Result Refused(const base::Error& error);
// The result of a command that is not written correctly.
Result UsageError(const std::string& what, const std::string& remedy);
// The refusal of a command that the KV did not answer.
Result KvUnavailable();

}  // namespace godwit::ctl

#endif  // GODWITCTL_RESULT_H_
