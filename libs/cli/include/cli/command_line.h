#ifndef CLI_COMMAND_LINE_H_
#define CLI_COMMAND_LINE_H_

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "base/error.h"

namespace godwit::cli {

// Reads a command line into the gflags of the program. Main thread.
class CommandLine {
 public:
  // The arguments that are not flags, without the program's name. Empty for an
  // unknown flag, or a flag without a value of its type; see last_error().
  // Arguments after "--" are not flags. A flag a_b may be written --a-b.
  std::optional<std::vector<std::string>> Parse(int argc, char** argv);

  // True when --help or -h was given; the program then prints its help.
  bool help() const noexcept { return help_; }
  const base::Error& last_error() const noexcept { return error_; }

 private:
  // Sets the flag at `position`, which ends at its last argument.
  bool SetFlag(const std::vector<std::string>& arguments, size_t& position);
  bool Fail(const std::string& what, const std::string& remedy);

  bool help_ = false;
  base::Error error_;
};

// Reads a whole number without sign, blanks or anything else around it.
std::optional<int64_t> ReadNumber(const std::string& text);

// Exit code of a program whose command line is not valid.
inline constexpr int kUsageExitCode = 2;

}  // namespace godwit::cli

#endif  // CLI_COMMAND_LINE_H_
