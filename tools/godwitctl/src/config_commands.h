#ifndef GODWITCTL_CONFIG_COMMANDS_H_
#define GODWITCTL_CONFIG_COMMANDS_H_

#include <string>
#include <vector>

#include "result.h"

namespace godwit::ctl {

struct Session;

// `config check FILE`, `config diff FILE`, `config apply FILE`, `config show`,
// `config status`.
Result ConfigCheck(Session& session, const std::vector<std::string>& arguments);
Result ConfigDiffCommand(Session& session,
                         const std::vector<std::string>& arguments);
Result ConfigApply(Session& session, const std::vector<std::string>& arguments);
Result ConfigShow(Session& session, const std::vector<std::string>& arguments);
Result ConfigStatus(Session& session,
                    const std::vector<std::string>& arguments);

}  // namespace godwit::ctl

#endif  // GODWITCTL_CONFIG_COMMANDS_H_
