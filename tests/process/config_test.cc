#include <algorithm>
#include <csignal>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

#include "process_fleet.h"
#include "runtime/runtime.h"

#include <CppUTest/TestHarness.h>

using godwit::process::Await;
using godwit::process::ProcessFleet;
using godwit::process::RunOnCore;
using godwit::runtime::Runtime;

namespace {

constexpr int64_t kLimit = 50'000;

// Applies a configuration over the revision `expected`; returns the new
// revision, or 0 on failure.
int64_t Apply(const ProcessFleet& fleet,
              int64_t max_running,
              int64_t expected) {
  const auto output =
      fleet.RunTool("--json config apply " + fleet.ConfigFile(max_running) +
                    " --expect " + std::to_string(expected));
  const auto json = nlohmann::json::parse(output.text, nullptr, false);
  return output.exit_code == 0 ? json.value("revision", int64_t{0}) : 0;
}

int64_t RevisionAt(ProcessFleet& fleet, size_t router) {
  return fleet.Status(router).value("config_revision", int64_t{0});
}

// Tracks the revisions in force at the routers. Core thread.
class RevisionTracker {
 public:
  explicit RevisionTracker(ProcessFleet& fleet) : fleet_(fleet) {}

  // Blocks until the router has this revision; returns false if a revision
  // decreased.
  bool AwaitRevision(size_t router, int64_t revision) {
    const bool reached = Await([&] {
      Poll();
      return highest_[router] >= revision;
    });
    return reached && !decreased_ && highest_[router] == revision;
  }

 private:
  void Poll() {
    for (size_t router = 0; router < highest_.size(); ++router) {
      const int64_t current = RevisionAt(fleet_, router);
      decreased_ = decreased_ || (current > 0 && current < highest_[router]);
      highest_[router] = std::max(highest_[router], current);
    }
  }

  ProcessFleet& fleet_;
  std::vector<int64_t> highest_ = {0, 0};
  bool decreased_ = false;
};

}  // namespace

TEST_GROUP(Config){};

TEST(Config, ReachesRoutersThatArePausedOrDisconnectedFromTheKv) {
  RunOnCore([](Runtime& runtime) {
    ProcessFleet fleet(runtime, kLimit);
    CHECK(fleet.AwaitReady());
    RevisionTracker tracker(fleet);
    const int64_t first = RevisionAt(fleet, 0);
    fleet.router(1).platform->Disconnect();
    const int64_t second = Apply(fleet, 31, first);
    CHECK(second > first);
    CHECK(tracker.AwaitRevision(0, second));
    CHECK(tracker.AwaitRevision(1, second));
    fleet.router(0).process->Signal(SIGSTOP);
    const int64_t third = Apply(fleet, 30, second);
    CHECK(third > second);
    CHECK(Await([&] { return RevisionAt(fleet, 1) == third; }));
    fleet.SetFault(fleet.platform_port(),
                   R"({"outage":true,"keep_leases":true})");
    fleet.router(0).process->Signal(SIGCONT);
    CHECK(tracker.AwaitRevision(0, third));
    CHECK(tracker.AwaitRevision(1, third));
  });
}

TEST(Config, ReachesANewRouterWhileTheKvIsUnavailable) {
  RunOnCore([](Runtime& runtime) {
    ProcessFleet fleet(runtime, kLimit);
    CHECK(fleet.AwaitReady());
    const int64_t revision = Apply(fleet, 31, RevisionAt(fleet, 0));
    CHECK(Await([&] { return RevisionAt(fleet, 0) == revision; }));
    fleet.PublishVms();
    fleet.SetFault(fleet.platform_port(),
                   R"({"outage":true,"keep_leases":true,"keep_vms":true})");
    fleet.StartRouter(2);
    CHECK(Await([&] { return RevisionAt(fleet, 2) == revision; }));
  });
}

TEST(Config, OneOfRacingAppliesWins) {
  RunOnCore([](Runtime& runtime) {
    ProcessFleet fleet(runtime, kLimit);
    CHECK(fleet.AwaitReady());
    RevisionTracker tracker(fleet);
    const std::string expect =
        " --expect " + std::to_string(RevisionAt(fleet, 0));
    fleet.SetFault(fleet.platform_port(), R"({"lose_answers":1})");
    const auto outputs =
        fleet.RunTools({"config apply " + fleet.ConfigFile(8) + expect,
                        "config apply " + fleet.ConfigFile(9) + expect});
    const bool first_won = outputs[0].exit_code == 0;
    const auto& loser = outputs[first_won ? 1 : 0];
    CHECK_EQUAL(0, outputs[first_won ? 0 : 1].exit_code);
    CHECK_EQUAL(1, loser.exit_code);
    STRCMP_CONTAINS(first_won ? "services.dispatch.max_running: 8 -> 9"
                              : "services.dispatch.max_running: 9 -> 8",
                    loser.text.c_str());
    const auto shown = nlohmann::json::parse(
        fleet.RunTool("--json config show").text, nullptr, false);
    STRCMP_CONTAINS(first_won ? "max_running: 8" : "max_running: 9",
                    shown.value("text", "").c_str());
    const auto revision = shown.value("revision", int64_t{0});
    CHECK(tracker.AwaitRevision(0, revision));
    CHECK(tracker.AwaitRevision(1, revision));
  });
}
