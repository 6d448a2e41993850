#include "cli/command_line.h"

#include <gflags/gflags.h>

#include <algorithm>
#include <cctype>

#include "base/parse_number.h"

namespace godwit::cli {
namespace {

using base::Error;
using base::ErrorKind;

bool IsFlag(const std::string& argument) {
  return argument.size() > 1 && argument[0] == '-' &&
         (argument[1] == '-' ||
          std::isalpha(static_cast<unsigned char>(argument[1])) != 0);
}

bool IsHelp(const std::string& argument) {
  return argument == "--help" || argument == "-help" || argument == "-h";
}

}  // namespace

// Sets flags one by one, because gflags' own parser terminates the process on
// an invalid command line.
std::optional<std::vector<std::string>> CommandLine::Parse(int argc,
                                                           char** argv) {
  const std::vector<std::string> arguments(argv + 1, argv + argc);
  std::vector<std::string> positional;
  for (size_t i = 0; i < arguments.size(); ++i) {
    if (arguments[i] == "--") {
      positional.insert(positional.end(), arguments.begin() + i + 1,
                        arguments.end());
      return positional;
    }
    if (IsHelp(arguments[i])) {
      help_ = true;
    } else if (!IsFlag(arguments[i])) {
      positional.push_back(arguments[i]);
    } else if (!SetFlag(arguments, i)) {
      return std::nullopt;
    }
  }
  return positional;
}

bool CommandLine::SetFlag(const std::vector<std::string>& arguments,
                          size_t& position) {
  const std::string& argument = arguments[position];
  const std::string text = argument.substr(argument.find_first_not_of('-'));
  const size_t equals = text.find('=');
  std::string name = text.substr(0, equals);
  std::replace(name.begin(), name.end(), '-', '_');
  gflags::CommandLineFlagInfo info;
  if (!gflags::GetCommandLineFlagInfo(name.c_str(), &info)) {
    return Fail("--" + name + " is not a known flag",
                "run with --help for the list");
  }
  std::string value = "true";
  if (equals != std::string::npos) {
    value = text.substr(equals + 1);
  } else if (info.type != "bool") {
    ++position;
    if (position == arguments.size()) {
      return Fail("--" + name + " has no value", "write --" + name + "=VALUE");
    }
    value = arguments[position];
  }
  if (gflags::SetCommandLineOption(name.c_str(), value.c_str()).empty()) {
    return Fail("--" + name + ": \"" + value + "\" is not a " + info.type,
                info.type == "bool" ? "write --" + name + " without a value"
                                    : "correct the value");
  }
  return true;
}

bool CommandLine::Fail(const std::string& message, const std::string& remedy) {
  error_ = Error(ErrorKind::kInvalidArgument, message, remedy);
  return false;
}

std::optional<int64_t> ParseNumber(const std::string& text) {
  const auto number = base::ParseNumber<int64_t>(text);
  return number && text.front() != '-' ? number : std::nullopt;
}

}  // namespace godwit::cli
