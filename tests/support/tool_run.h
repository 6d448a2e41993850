#ifndef SUPPORT_TOOL_RUN_H_
#define SUPPORT_TOOL_RUN_H_

#include <string>

namespace godwit::support {

// A program of this build that ran to its end.
struct ToolRun {
  // -1 when a signal ended it.
  int exit_code = -1;
  // What it wrote to stdout and stderr.
  std::string output;
};

// Runs GODWIT_BIN_DIR/`program` through the shell and waits for its end.
ToolRun RunTool(const std::string& program, const std::string& arguments);

}  // namespace godwit::support

#endif  // SUPPORT_TOOL_RUN_H_
