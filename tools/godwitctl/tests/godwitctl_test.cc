#include <array>
#include <cstdio>
#include <cstdlib>
#include <fstream>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

#include "support/child_process.h"

#include <CppUTest/TestHarness.h>

using godwit::support::ChildProcess;
using nlohmann::json;

namespace {

struct Output {
  int exit_code = -1;
  std::string text;
};

// Runs godwitctl through the shell; stderr goes to the text as well.
Output RunTool(const std::string& arguments) {
  const char* directory = std::getenv("GODWIT_BIN_DIR");
  const std::string command =
      std::string(directory) + "/godwitctl " + arguments + " 2>&1";
  Output output;
  FILE* pipe = popen(command.c_str(), "r");
  std::array<char, 4096> buffer{};
  while (const size_t count =
             std::fread(buffer.data(), 1, buffer.size(), pipe)) {
    output.text.append(buffer.data(), count);
  }
  output.exit_code = WEXITSTATUS(pclose(pipe));
  return output;
}

// A file that exists as long as the object.
class TemporaryFile {
 public:
  explicit TemporaryFile(const std::string& text) {
    char path[] = "/tmp/godwitctl-test-XXXXXX";
    const int descriptor = mkstemp(path);
    FILE* file = fdopen(descriptor, "w");
    std::fputs(text.c_str(), file);
    std::fclose(file);
    path_ = path;
  }
  ~TemporaryFile() { std::remove(path_.c_str()); }
  TemporaryFile(const TemporaryFile&) = delete;
  TemporaryFile& operator=(const TemporaryFile&) = delete;

  const std::string& path() const noexcept { return path_; }

 private:
  std::string path_;
};

std::string TextOf(int max_running) {
  return "services:\n  crew: {kind: plain, backend_servers: [agent-1], "
         "max_running: " +
         std::to_string(max_running) +
         "}\norganisations:\n  acme: {budget: acme-main, api_key_hashes: []}\n";
}

// godwitctl against a stand-in of the platform.
class Fleet {
 public:
  Fleet() : platform_("standin-platform", {}) {}

  Output Run(const std::string& arguments) const {
    return RunTool("--platform 127.0.0.1:" + std::to_string(platform_.port()) +
                   " " + arguments);
  }

  json RunJson(const std::string& arguments) const {
    const Output output = Run("--json " + arguments);
    return json::parse(output.text, nullptr, false);
  }

 private:
  ChildProcess platform_;
};

}  // namespace

TEST_GROUP(Godwitctl){};

TEST(Godwitctl, AppliesConfigurationsByCompareAndSwap) {
  const Fleet fleet;
  const TemporaryFile first(TextOf(4));
  const TemporaryFile second(TextOf(8));
  const TemporaryFile invalid(TextOf(0));
  CHECK_EQUAL(1, fleet.Run("config check " + invalid.path()).exit_code);
  CHECK_EQUAL(1,
              fleet.Run("config apply --expect 0 " + invalid.path()).exit_code);
  CHECK_EQUAL(0, fleet.Run("config check " + first.path()).exit_code);
  const json applied = fleet.RunJson("config apply --expect 0 " + first.path());
  const auto revision = applied.at("revision").get<int64_t>();
  CHECK(revision > 0);
  CHECK(fleet.RunJson("config apply --expect 0 " + first.path()) == applied);
  const Output late = fleet.Run("config apply --expect 0 " + second.path());
  CHECK_EQUAL(1, late.exit_code);
  STRCMP_CONTAINS("~ services.crew.max_running: 4 -> 8", late.text.c_str());
  STRCMP_CONTAINS(("--expect " + std::to_string(revision)).c_str(),
                  late.text.c_str());
  const Output merged =
      fleet.Run("config apply --expect " + std::to_string(revision) + " " +
                second.path());
  CHECK_EQUAL(0, merged.exit_code);
  CHECK(fleet.RunJson("config show").at("text") == TextOf(8));
  CHECK_EQUAL(0, fleet.Run("config status").exit_code);
  STRCMP_CONTAINS("no difference",
                  fleet.Run("config diff " + second.path()).text.c_str());
}

TEST(Godwitctl, BudgetCommandsMayBeRepeated) {
  const Fleet fleet;
  const TemporaryFile config(TextOf(4));
  CHECK_EQUAL(1, fleet.Run("budget create acme-main").exit_code);
  CHECK_EQUAL(0,
              fleet.Run("config apply --expect 0 " + config.path()).exit_code);
  for (int i = 0; i < 2; ++i) {
    CHECK_EQUAL(
        0, fleet.Run("budget create acme-main --limit 1000 --op o1").exit_code);
    CHECK_EQUAL(0, fleet.Run("budget topup acme-main 500 --op o2").exit_code);
  }
  const json shown = fleet.RunJson("budget show acme-main");
  CHECK_EQUAL(1500, shown.at("limit").get<int64_t>());
  CHECK_EQUAL(1500, shown.at("free").get<int64_t>());
  CHECK(shown.at("organisation") == "acme");
  CHECK_EQUAL(2,
              fleet.RunJson("budget history acme-main").at("top_ups").size());
  CHECK_EQUAL(1500, fleet.RunJson("org list").at(0).at("limit").get<int64_t>());
  CHECK_EQUAL(1, fleet.RunJson("budget show").size());
  CHECK(fleet.RunJson("fleet status").at("agents").empty());
}

TEST(Godwitctl, RefusalsNameTheRemedy) {
  struct Case {
    std::string arguments;
    int exit_code;
    std::string text;
  };
  const std::vector<Case> cases = {
      {"budget topup acme-main 500 --op o1", 1, "there is no budget"},
      {"budget topup acme-main 500", 2, "--op is missing"},
      {"budget topup acme-main -5 --op o1", 2, "\"-5\" is not an amount"},
      {"budget topup acme-main 1.5 --op o1", 2, "\"1.5\" is not an amount"},
      {"budget topup acme-main 9223372036854775808 --op o1", 2,
       "is not an amount"},
      {"budget topup acme-main", 2, "budget topup NAME TOKENS"},
      {"budget create b --limit x --op o", 2, "--limit: \"x\" can't be read"},
      {"budget show none", 1, "not_found: there is no budget none"},
      {"budget write-off acme-main 5", 2, "--expect-held is missing"},
      {"config apply none.yaml", 2, "--expect is missing"},
      {"config apply none.yaml --expect 0", 1, "none.yaml: can't be read"},
      {"config shout", 2, "there is no such command"},
      {"config show --colour=red", 2, "--colour is not a known flag"},
  };
  const Fleet fleet;
  for (const Case& c : cases) {
    const Output output = fleet.Run(c.arguments);
    CHECK_EQUAL_TEXT(c.exit_code, output.exit_code, c.arguments.c_str());
    STRCMP_CONTAINS(c.text.c_str(), output.text.c_str());
  }
  CHECK(fleet.RunJson("budget show none").at("error").at("kind") ==
        "not_found");
}

TEST(Godwitctl, TopUpsWithOneIdAndOtherAmountsConflict) {
  const Fleet fleet;
  CHECK_EQUAL(0, fleet.Run("budget create b --organisation o").exit_code);
  CHECK_EQUAL(0, fleet.Run("budget topup b 5 --op o1").exit_code);
  const Output other = fleet.Run("budget topup b 6 --op o1");
  CHECK_EQUAL(1, other.exit_code);
  STRCMP_CONTAINS("conflict", other.text.c_str());
  CHECK_EQUAL(5, fleet.RunJson("budget show b").at("limit").get<int64_t>());
}

TEST(Godwitctl, SaysSoWhenThePlatformIsMissing) {
  CHECK_EQUAL(2, RunTool("config show").exit_code);
  const Output down = RunTool("--platform 127.0.0.1:1 config show");
  CHECK_EQUAL(1, down.exit_code);
  STRCMP_CONTAINS("does not answer", down.text.c_str());
  CHECK_EQUAL(0, RunTool("--help").exit_code);
}
