#include "support/tool_run.h"

#include <sys/wait.h>

#include <array>
#include <cstdio>
#include <cstdlib>

namespace godwit::support {

ToolRun RunTool(const std::string& program, const std::string& arguments) {
  const char* directory = std::getenv("GODWIT_BIN_DIR");
  const std::string command =
      std::string(directory == nullptr ? "." : directory) + "/" + program +
      " " + arguments + " 2>&1";
  ToolRun run;
  FILE* pipe = popen(command.c_str(), "r");
  if (pipe == nullptr) {
    return run;
  }
  std::array<char, 4096> buffer{};
  while (const size_t count =
             std::fread(buffer.data(), 1, buffer.size(), pipe)) {
    run.output.append(buffer.data(), count);
  }
  const int status = pclose(pipe);
  run.exit_code = WIFEXITED(status) ? WEXITSTATUS(status) : -1;
  return run;
}

}  // namespace godwit::support
