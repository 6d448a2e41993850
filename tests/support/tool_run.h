#ifndef SUPPORT_TOOL_RUN_H_
#define SUPPORT_TOOL_RUN_H_

#include <string>

namespace godwit::support {

// The result of a program of this build that ran to completion.
struct ToolRun {
  // -1 if a signal terminated it.
  int exit_code = -1;
  // Combined stdout and stderr.
  std::string output;
};

// Runs GODWIT_BIN_DIR/`program` through the shell and blocks until it exits.
ToolRun RunTool(const std::string& program, const std::string& arguments);

}  // namespace godwit::support

#endif  // SUPPORT_TOOL_RUN_H_
