#include <gflags/gflags.h>

#include <cstdio>
#include <cstdlib>
#include <memory>
#include <optional>
#include <random>
#include <string>
#include <vector>

#include "base/endpoint.h"
#include "cli/command_line.h"
#include "commands.h"
#include "options.h"
#include "platform/client.h"
#include "runtime/runtime.h"
#include "session.h"

DEFINE_string(platform, "", "IP:PORT of the platform's KV");
DEFINE_bool(json, false, "print JSON");
DEFINE_string(expect, "", "revision that a configuration file is based on");
DEFINE_string(limit, "", "first top-up of a new budget, in tokens");
DEFINE_string(op, "", "operation id of a top-up");
DEFINE_string(organisation, "", "organisation of a new budget");
DEFINE_string(expect_held, "", "held tokens before a write-off");
DEFINE_bool(bill, false, "bill written-off tokens");
DEFINE_string(routers, "", "HTTP addresses of routers, separated by commas");

namespace godwit::ctl {
namespace {

constexpr char kPlatformVariable[] = "GODWIT_PLATFORM";

// Converts the flags to options; keeps the error of the first invalid flag.
class OptionsReader {
 public:
  std::optional<Options> Read() {
    Options options;
    options.json = FLAGS_json;
    options.bill = FLAGS_bill;
    options.operation = FLAGS_op;
    options.organisation = FLAGS_organisation;
    options.expect = Number("expect", FLAGS_expect);
    options.limit = Number("limit", FLAGS_limit);
    options.expect_held = Number("expect-held", FLAGS_expect_held);
    options.platform = Platform();
    options.routers = Addresses(FLAGS_routers);
    return usage_error_ ? std::nullopt : std::optional(options);
  }

  const std::optional<Result>& usage_error() const noexcept {
    return usage_error_;
  }

 private:
  std::optional<int64_t> Number(const char* name, const std::string& text) {
    const auto number = cli::ParseNumber(text);
    if (!text.empty() && !number) {
      Refuse(name, text, "write a whole number");
    }
    return number;
  }

  std::optional<base::Endpoint> Platform() {
    const char* variable = std::getenv(kPlatformVariable);
    const std::string text = !FLAGS_platform.empty() || variable == nullptr
                                 ? FLAGS_platform
                                 : std::string(variable);
    auto endpoint = base::Endpoint::FromText(text);
    if (!text.empty() && !endpoint) {
      Refuse("platform", text, "write IP:PORT");
    }
    return endpoint;
  }

  std::vector<base::Endpoint> Addresses(const std::string& list) {
    std::vector<base::Endpoint> endpoints;
    size_t begin = 0;
    while (begin < list.size()) {
      const size_t end = std::min(list.find(',', begin), list.size());
      const std::string text = list.substr(begin, end - begin);
      const auto endpoint = base::Endpoint::FromText(text);
      if (!endpoint) {
        Refuse("routers", text, "write IP:PORT,IP:PORT");
        return endpoints;
      }
      endpoints.push_back(*endpoint);
      begin = end + 1;
    }
    return endpoints;
  }

  void Refuse(const char* name,
              const std::string& text,
              const std::string& remedy) {
    if (!usage_error_) {
      usage_error_ = UsageError(
          std::string("--") + name + ": \"" + text + "\" can't be read",
          remedy);
    }
  }

  std::optional<Result> usage_error_;
};

int Print(const Result& result) {
  std::fputs(FLAGS_json ? (result.json + "\n").c_str() : result.text.c_str(),
             stdout);
  if (!FLAGS_json && result.error.kind() != base::ErrorKind::kNone) {
    std::fprintf(stderr, "%s\n", result.error.ToString().c_str());
  }
  return result.exit_code;
}

std::string NewRunId() {
  std::random_device device;
  char text[17];
  std::snprintf(text, sizeof(text), "%08x%08x", device(), device());
  return text;
}

Result Run(const CommandInfo& command,
           const std::vector<std::string>& arguments,
           const Options& options) {
  runtime::Runtime runtime;
  Result result;
  runtime.Run([&] {
    std::unique_ptr<platform::Client> client;
    if (options.platform) {
      client = std::make_unique<platform::Client>(runtime, options.platform->ip,
                                                  options.platform->port);
    }
    Session session{options, runtime, client.get(), NewRunId()};
    result = command.run(session, arguments);
    runtime.Stop();
  });
  return result;
}

Result Execute(const std::vector<std::string>& words) {
  const CommandInfo* command = FindCommand(words);
  if (command == nullptr) {
    return UsageError("there is no such command", "run `godwitctl --help`");
  }
  const std::vector<std::string> arguments(words.begin() + 2, words.end());
  const size_t max_arguments = command->arguments.size();
  const size_t min_arguments = max_arguments - command->optional_arguments;
  if (arguments.size() < min_arguments || arguments.size() > max_arguments) {
    std::string form = command->name;
    for (const std::string& argument : command->arguments) {
      form += " " + argument;
    }
    return UsageError("the arguments do not fit", "write `" + form + "`");
  }
  OptionsReader reader;
  const auto options = reader.Read();
  if (!options) {
    return *reader.usage_error();
  }
  if (command->needs_platform && !options->platform) {
    return UsageError(
        "--platform is missing",
        "give IP:PORT of the platform's KV, or set GODWIT_PLATFORM");
  }
  return Run(*command, arguments, *options);
}

}  // namespace
}  // namespace godwit::ctl

int main(int argc, char** argv) {
  godwit::cli::CommandLine line;
  const auto words = line.Parse(argc, argv);
  if (line.help()) {
    std::fputs(godwit::ctl::kHelp, stdout);
    return 0;
  }
  if (!words) {
    std::fprintf(stderr, "%s\n", line.last_error().ToString().c_str());
    return godwit::cli::kUsageExitCode;
  }
  return godwit::ctl::Print(godwit::ctl::Execute(*words));
}
