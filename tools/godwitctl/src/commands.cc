#include "commands.h"

#include <algorithm>

#include "budget_commands.h"
#include "config_commands.h"
#include "fleet_commands.h"

namespace godwit::ctl {

const char kHelp[] = R"(NAME
  godwitctl - operate a godwitlatch fleet

SYNOPSIS
  godwitctl [--platform IP:PORT] [--json] COMMAND [ARGUMENT...] [FLAG...]

CONFIGURATION
  config check FILE
      Check a configuration text without applying it. Needs no platform.
  config diff FILE
      Show what applying FILE would change.
  config apply FILE --expect REVISION
      Apply FILE if REVISION is still the newest one; 0 for the first. When
      another operator was faster, nothing is applied and the difference is
      shown.
  config show
      Print the newest revision and its text.
  config status [--routers IP:PORT,IP:PORT...]
      Print the newest revision and the one in force at each router named.

ORGANISATIONS AND BUDGETS
  org list
      List the organisations of the configuration with their budgets.
  budget create NAME [--limit TOKENS --op ID] [--organisation ORGANISATION]
      Create a budget, with a first top-up of --limit. The organisation is
      looked up in the configuration unless it is given.
  budget topup NAME TOKENS --op ID
      Add tokens to a budget. The same ID counts once, so a command whose
      answer was lost can be repeated.
  budget show [NAME]
      Print limit, billed, granted, held and free tokens.
  budget history NAME
      List the top-ups, oldest first, with their time in milliseconds since
      1970.
  budget write-off NAME TOKENS --expect-held TOKENS [--bill]
      End the uncertainty about held tokens: free them, or bill them.

FLEET
  fleet status
      List agents with their state, and the lives of routers.

FLAGS
  --platform IP:PORT     the platform's KV; default: variable GODWIT_PLATFORM
  --json                 print JSON in place of text
  --expect REVISION      revision that a configuration file is based on
  --limit TOKENS         first top-up of a new budget
  --op ID                operation id of a top-up, of your choosing
  --organisation NAME    organisation of a new budget
  --expect-held TOKENS   held tokens before a write-off
  --bill                 bill written-off tokens in place of freeing them
  --routers LIST         HTTP addresses of routers, separated by commas

Every command may be repeated: what has taken effect is not done twice.

EXIT STATUS
  0  done
  1  refused, in conflict, or the platform does not answer
  2  the command line is not valid

EXAMPLES
  godwitctl --platform 10.0.0.5:2379 config apply fleet.yaml --expect 0
  godwitctl --platform 10.0.0.5:2379 budget topup acme 500000 --op invoice-88
)";

const std::vector<CommandInfo>& Commands() {
  static const std::vector<CommandInfo> commands = {
      {"config check", {"FILE"}, 0, false, ConfigCheck},
      {"config diff", {"FILE"}, 0, true, ConfigDiffCommand},
      {"config apply", {"FILE"}, 0, true, ConfigApply},
      {"config show", {}, 0, true, ConfigShow},
      {"config status", {}, 0, true, ConfigStatus},
      {"org list", {}, 0, true, OrganisationList},
      {"budget create", {"NAME"}, 0, true, BudgetCreate},
      {"budget topup", {"NAME", "TOKENS"}, 0, true, BudgetTopUp},
      {"budget show", {"NAME"}, 1, true, BudgetShow},
      {"budget history", {"NAME"}, 0, true, BudgetHistory},
      {"budget write-off", {"NAME", "TOKENS"}, 0, true, BudgetWriteOff},
      {"fleet status", {}, 0, true, FleetStatus},
  };
  return commands;
}

const CommandInfo* FindCommand(const std::vector<std::string>& words) {
  if (words.size() < 2) {
    return nullptr;
  }
  const std::string name = words[0] + " " + words[1];
  const auto& commands = Commands();
  const auto found = std::find_if(
      commands.begin(), commands.end(),
      [&](const CommandInfo& command) { return command.name == name; });
  return found == commands.end() ? nullptr : &*found;
}

}  // namespace godwit::ctl
