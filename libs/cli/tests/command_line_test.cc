#include "cli/command_line.h"

#include <gflags/gflags.h>

#include <string>
#include <vector>

#include <CppUTest/TestHarness.h>

DEFINE_string(test_name, "", "a text");
DEFINE_bool(test_switch, false, "a switch");

using godwit::cli::CommandLine;
using godwit::cli::ParseNumber;

namespace {

std::optional<std::vector<std::string>> Parse(
    CommandLine& line,
    std::vector<std::string> arguments) {
  arguments.insert(arguments.begin(), "program");
  std::vector<char*> pointers;
  pointers.reserve(arguments.size());
  for (std::string& argument : arguments) {
    pointers.push_back(argument.data());
  }
  return line.Parse(static_cast<int>(pointers.size()), pointers.data());
}

}  // namespace

TEST_GROUP(CommandLine){};

TEST(CommandLine, SeparatesFlagsFromArguments) {
  CommandLine line;
  const auto positional = Parse(
      line, {"show", "--test_name", "x", "--test-switch", "-1", "--help"});
  CHECK(positional == std::vector<std::string>({"show", "-1"}));
  CHECK(FLAGS_test_name == "x");
  CHECK(FLAGS_test_switch);
  CHECK(line.help());
}

TEST(CommandLine, RejectsInvalidFlags) {
  const std::vector<std::vector<std::string>> cases = {
      {"--colour=red"}, {"--test_name"}, {"--test_switch=perhaps"}};
  for (const auto& arguments : cases) {
    CommandLine line;
    CHECK(!Parse(line, arguments));
    CHECK(!line.last_error().remedy().empty());
  }
}

TEST(CommandLine, NumbersAreNonNegativeIntegers) {
  for (const char* text :
       {"", "-1", "+1", "1.5", " 1", "1 ", "1e3", "9223372036854775808", "x"}) {
    CHECK_TEXT(!ParseNumber(text), text);
  }
  CHECK(ParseNumber("0") == 0);
  CHECK(ParseNumber("9223372036854775807") == INT64_MAX);
}
