#ifndef CLI_COMMAND_LINE_H_
#define CLI_COMMAND_LINE_H_

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "base/error.h"

namespace godwit::cli {

// Parses a command line into the gflags of the program. Main thread only.
class CommandLine {
 public:
  // Sets the flags and returns the positional arguments, without the program
  // name. Returns nullopt for an unknown flag, or a flag whose value is missing
  // or not of its type; see last_error(). Arguments after "--" are positional.
  // A flag a_b may also be written --a-b.
  std::optional<std::vector<std::string>> Parse(int argc, char** argv);

  // True when --help or -h was given; the caller prints the help text.
  bool help() const noexcept { return help_; }
  const base::Error& last_error() const noexcept { return error_; }

 private:
  // Sets the flag at `position` and advances `position` to the last argument of
  // the flag.
  bool SetFlag(const std::vector<std::string>& arguments, size_t& position);
  bool Fail(const std::string& message, const std::string& remedy);

  bool help_ = false;
  base::Error error_;
};

// Parses a non-negative decimal integer. Signs, blanks and any other
// surrounding characters are rejected.
std::optional<int64_t> ParseNumber(const std::string& text);

// Exit code for an invalid command line.
inline constexpr int kUsageExitCode = 2;

}  // namespace godwit::cli

#endif  // CLI_COMMAND_LINE_H_
