#ifndef GODWITCTL_COMMANDS_H_
#define GODWITCTL_COMMANDS_H_

#include <string>
#include <vector>

#include "result.h"

namespace godwit::ctl {

struct Session;

// A command of godwitctl.
struct CommandInfo {
  // Its words, such as "config check".
  std::string name;
  // Names of its arguments.
  std::vector<std::string> arguments;
  // How many of them may be left out, from the end.
  size_t optional_arguments = 0;
  bool needs_platform = true;
  Result (*run)(Session&, const std::vector<std::string>&);
};

const std::vector<CommandInfo>& Commands();

// The command that the words name, or null.
const CommandInfo* FindCommand(const std::vector<std::string>& words);

// Text of --help.
extern const char kHelp[];

}  // namespace godwit::ctl

#endif  // GODWITCTL_COMMANDS_H_
