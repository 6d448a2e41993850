#ifndef GODWITCTL_COMMANDS_H_
#define GODWITCTL_COMMANDS_H_

#include <string>
#include <vector>

#include "result.h"

namespace godwit::ctl {

struct Session;

// A command of godwitctl.
struct CommandInfo {
  // Command words, such as "config check".
  std::string name;
  // Argument names.
  std::vector<std::string> arguments;
  // Number of trailing arguments that are optional.
  size_t optional_arguments = 0;
  bool needs_platform = true;
  Result (*run)(Session&, const std::vector<std::string>&);
};

const std::vector<CommandInfo>& Commands();

// Returns the command named by `words`, or null.
const CommandInfo* FindCommand(const std::vector<std::string>& words);

// Text of --help.
extern const char kHelp[];

}  // namespace godwit::ctl

#endif  // GODWITCTL_COMMANDS_H_
