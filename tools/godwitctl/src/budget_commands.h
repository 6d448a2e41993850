#ifndef GODWITCTL_BUDGET_COMMANDS_H_
#define GODWITCTL_BUDGET_COMMANDS_H_

#include <string>
#include <vector>

#include "result.h"

namespace godwit::ctl {

struct Session;

// `budget create NAME`, `budget topup NAME AMOUNT`, `budget show [NAME]`,
// `budget history NAME`, `budget write-off NAME AMOUNT`, `org list`.
Result BudgetCreate(Session& session,
                    const std::vector<std::string>& arguments);
Result BudgetTopUp(Session& session, const std::vector<std::string>& arguments);
Result BudgetShow(Session& session, const std::vector<std::string>& arguments);
Result BudgetHistory(Session& session,
                     const std::vector<std::string>& arguments);
Result BudgetWriteOff(Session& session,
                      const std::vector<std::string>& arguments);
Result OrganisationList(Session& session,
                        const std::vector<std::string>& arguments);

}  // namespace godwit::ctl

#endif  // GODWITCTL_BUDGET_COMMANDS_H_
