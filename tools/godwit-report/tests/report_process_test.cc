#include <sys/wait.h>
#include <cstdlib>
#include <string>
#include <vector>

#include <CppUTest/TestHarness.h>

namespace {

int Run(const std::string& arguments) {
  const std::string command = std::string(std::getenv("GODWIT_BIN_DIR")) +
                              "/godwit-report " + arguments +
                              " > /dev/null 2>&1";
  return WEXITSTATUS(std::system(command.c_str()));
}

struct Case {
  const char* arguments;
  int exit_code;
};

}  // namespace

TEST_GROUP(ReportProcess){};

TEST(ReportProcess, ExitCodeTellsFailuresFromInvalidUsage) {
  const std::vector<Case> cases = {
      {"--help", 0},
      {"/dev/null", 0},
      {"- < /dev/null", 0},
      {"/dev/null no-such-file", 1},
      {"http://127.0.0.1:1/metrics", 1},
      {"--output /no/such/directory/x /dev/null", 1},
      {"", 2},
      {"--format pdf /dev/null", 2},
      {"--fast_minutes 0 /dev/null", 2},
      {"--fast-minutes many /dev/null", 2},
      {"--config no-such-file /dev/null", 2},
      {"--colour red /dev/null", 2},
  };
  for (const Case& c : cases) {
    CHECK_EQUAL_TEXT(c.exit_code, Run(c.arguments), c.arguments);
  }
}
