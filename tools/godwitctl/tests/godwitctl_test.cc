#include <fstream>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

#include "support/child_process.h"
#include "support/test_directory.h"
#include "support/tool_run.h"

#include <CppUTest/TestHarness.h>

using godwit::support::ChildProcess;
using godwit::support::RunTool;
using godwit::support::TestDirectory;
using godwit::support::ToolRun;
using nlohmann::json;

namespace {

std::string TextOf(int max_running) {
  return "services:\n  crew: {kind: plain, backend_servers: [agent-1], "
         "max_running: " +
         std::to_string(max_running) +
         "}\norganisations:\n  acme: {budget: acme-main, api_key_hashes: []}\n";
}

// Writes a file and returns its path.
std::string Write(const TestDirectory& directory,
                  const std::string& name,
                  const std::string& text) {
  std::string path = directory.path() + "/" + name;
  std::ofstream(path) << text;
  return path;
}

// Runs godwitctl against the platform stand-in.
class Fleet {
 public:
  Fleet() : platform_("standin-platform", {}) {}

  ToolRun Run(const std::string& arguments) const {
    return RunTool("godwitctl",
                   "--platform 127.0.0.1:" + std::to_string(platform_.port()) +
                       " " + arguments);
  }

  json RunJson(const std::string& arguments) const {
    const ToolRun run = Run("--json " + arguments);
    return json::parse(run.output, nullptr, false);
  }

 private:
  ChildProcess platform_;
};

}  // namespace

TEST_GROUP(Godwitctl){};

TEST(Godwitctl, AppliesConfigurationsByCompareAndSwap) {
  const Fleet fleet;
  const TestDirectory directory;
  const std::string first = Write(directory, "first", TextOf(4));
  const std::string second = Write(directory, "second", TextOf(8));
  const std::string invalid = Write(directory, "invalid", TextOf(0));
  CHECK_EQUAL(1, fleet.Run("config check " + invalid).exit_code);
  CHECK_EQUAL(1, fleet.Run("config apply --expect 0 " + invalid).exit_code);
  CHECK_EQUAL(0, fleet.Run("config check " + first).exit_code);
  const json applied = fleet.RunJson("config apply --expect 0 " + first);
  const auto revision = applied.at("revision").get<int64_t>();
  CHECK(revision > 0);
  CHECK(fleet.RunJson("config apply --expect 0 " + first) == applied);
  const ToolRun conflicting = fleet.Run("config apply --expect 0 " + second);
  CHECK_EQUAL(1, conflicting.exit_code);
  STRCMP_CONTAINS("~ services.crew.max_running: 4 -> 8",
                  conflicting.output.c_str());
  STRCMP_CONTAINS(("--expect " + std::to_string(revision)).c_str(),
                  conflicting.output.c_str());
  const ToolRun merged = fleet.Run("config apply --expect " +
                                   std::to_string(revision) + " " + second);
  CHECK_EQUAL(0, merged.exit_code);
  CHECK(fleet.RunJson("config show").at("text") == TextOf(8));
  CHECK_EQUAL(0, fleet.Run("config status").exit_code);
  STRCMP_CONTAINS("no difference",
                  fleet.Run("config diff " + second).output.c_str());
}

TEST(Godwitctl, BudgetCommandsMayBeRepeated) {
  const Fleet fleet;
  const TestDirectory directory;
  const std::string config = Write(directory, "config", TextOf(4));
  CHECK_EQUAL(1, fleet.Run("budget create acme-main").exit_code);
  CHECK_EQUAL(0, fleet.Run("config apply --expect 0 " + config).exit_code);
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

TEST(Godwitctl, RefusalsIncludeRemedy) {
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
    const ToolRun run = fleet.Run(c.arguments);
    CHECK_EQUAL_TEXT(c.exit_code, run.exit_code, c.arguments.c_str());
    STRCMP_CONTAINS(c.text.c_str(), run.output.c_str());
  }
  CHECK(fleet.RunJson("budget show none").at("error").at("kind") ==
        "not_found");
}

TEST(Godwitctl, ReusedTopUpIdWithOtherAmountConflicts) {
  const Fleet fleet;
  CHECK_EQUAL(0, fleet.Run("budget create b --organisation o").exit_code);
  CHECK_EQUAL(0, fleet.Run("budget topup b 5 --op o1").exit_code);
  const ToolRun other = fleet.Run("budget topup b 6 --op o1");
  CHECK_EQUAL(1, other.exit_code);
  STRCMP_CONTAINS("conflict", other.output.c_str());
  CHECK_EQUAL(5, fleet.RunJson("budget show b").at("limit").get<int64_t>());
}

TEST(Godwitctl, ReportsMissingOrUnreachablePlatform) {
  CHECK_EQUAL(2, RunTool("godwitctl", "config show").exit_code);
  const ToolRun unreachable =
      RunTool("godwitctl", "--platform 127.0.0.1:1 config show");
  CHECK_EQUAL(1, unreachable.exit_code);
  STRCMP_CONTAINS("does not answer", unreachable.output.c_str());
  CHECK_EQUAL(0, RunTool("godwitctl", "--help").exit_code);
}
