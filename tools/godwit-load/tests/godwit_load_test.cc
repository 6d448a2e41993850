#include <array>
#include <cstdio>
#include <cstdlib>
#include <string>
#include <vector>

#include <CppUTest/TestHarness.h>

TEST_GROUP(GodwitLoad){};

TEST(GodwitLoad, ChecksItsCommandLine) {
  struct Case {
    const char* arguments;
    int exit_code;
    const char* text;
  };
  const std::vector<Case> cases = {
      {"--help", 0, "usage: godwit-load"},
      {"", 2, "godwit-load --help"},
      {"experiment", 2, "godwit-load --help"},
      {"experiment nothing", 2, "choose one of: budgets, routing"},
      {"experiment routing --seed=x", 2, "seed"},
      {"experiment routing --nothing=1", 2, "nothing"},
      {"experiment routing --out=/nowhere/at/all.csv", 1, "can't be written"},
  };
  const char* directory = std::getenv("GODWIT_BIN_DIR");
  for (const Case& c : cases) {
    const std::string command =
        std::string(directory) + "/godwit-load " + c.arguments + " 2>&1";
    FILE* pipe = popen(command.c_str(), "r");
    std::array<char, 4096> buffer{};
    const size_t count = std::fread(buffer.data(), 1, buffer.size() - 1, pipe);
    const int exit_code = WEXITSTATUS(pclose(pipe));
    CHECK_EQUAL_TEXT(c.exit_code, exit_code, c.arguments);
    STRCMP_CONTAINS_TEXT(c.text, std::string(buffer.data(), count).c_str(),
                         c.arguments);
  }
}
