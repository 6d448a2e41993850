// Replays worst-case loads in virtual time, where useful with and without the
// part of the placement policy that handles them.
#include <cstdint>
#include <set>
#include <string>
#include <vector>

#include "dispatch_simulation.h"

#include <CppUTest/TestHarness.h>

using godwit::base::ErrorKind;
using godwit::base::Millis;
using godwit::base::OrganisationId;
using godwit::dispatch::CallId;
using godwit::dispatch::DispatchSimulation;
using godwit::dispatch::ModelServer;
using godwit::dispatch::PlacementOptions;

namespace {

std::vector<ModelServer::Options> Models(size_t count) {
  return std::vector<ModelServer::Options>(count, ModelServer::Options());
}

std::string Describe(const DispatchSimulation::OutcomeCounts& counts) {
  return std::to_string(counts.calls) + " calls, " +
         std::to_string(counts.on_time) + " on time, " +
         std::to_string(counts.late) + " late, " +
         std::to_string(counts.refused) + " refused, " +
         std::to_string(counts.failed) + " failed, longest refusal " +
         std::to_string(counts.longest_refusal.count()) + " ms";
}

// Short streams at a constant rate, concurrent with prompts of which some are
// very long.
DispatchSimulation::OutcomeCounts ChatsWithLongPrompts(
    const PlacementOptions& placement) {
  DispatchSimulation::Options options;
  options.placement = placement;
  DispatchSimulation simulation(options, Models(8));
  for (int i = 0; i < 400; ++i) {
    simulation.Arrive("chat", 100, 500, static_cast<uint64_t>(i % 40), 60);
    if (i % 5 == 0) {
      const int64_t own = i % 25 == 0 ? 20'000 : 3'000;
      simulation.Arrive("summary", 6'000, own,
                        1000 + static_cast<uint64_t>(i % 30), 12);
    }
    simulation.Advance(Millis(40));
  }
  simulation.Advance(Millis(5000));
  return simulation.CountOutcomes("chat");
}

struct Burst {
  DispatchSimulation::OutcomeCounts urgent;
  DispatchSimulation::OutcomeCounts other;
};

// A load far above the capacity of two servers, of two urgencies at once.
Burst BurstOfTwoUrgencies() {
  DispatchSimulation simulation({}, Models(2));
  for (int i = 0; i < 100; ++i) {
    for (int n = 0; n < 2; ++n) {
      simulation.Arrive("chat", 100, 400, static_cast<uint64_t>(i % 10), 30);
      simulation.Arrive("summary", 100, 2000,
                        500 + static_cast<uint64_t>(i % 10), 30);
    }
    simulation.Advance(Millis(20));
  }
  simulation.Advance(Millis(16000));
  return {simulation.CountOutcomes("chat"),
          simulation.CountOutcomes("summary")};
}

}  // namespace

TEST_GROUP(LoadReplay){};

TEST(LoadReplay, LongPromptsDoNotDelayShortStreams) {
  PlacementOptions without;
  without.long_prompt_server_share = 0;
  without.delayed_stream_cost = Millis(0);
  const auto before = ChatsWithLongPrompts(without);
  const auto after = ChatsWithLongPrompts(PlacementOptions());
  const std::string figures =
      "without: " + Describe(before) + "; with: " + Describe(after);
  CHECK_EQUAL_TEXT(400, after.on_time + after.late, figures.c_str());
  // 90% must be on time while there is capacity.
  CHECK_TEXT(after.on_time >= 360, figures.c_str());
  CHECK_TEXT(before.on_time < 360, figures.c_str());
}

// Guards against long prompts that delay short streams where the capacity model
// applies.
TEST(LoadReplay, LongPromptsDoNotDelayShortStreamsByTheCapacityModel) {
  PlacementOptions always;
  always.capacity_model = PlacementOptions::CapacityModelUse::kAlways;
  const auto counts = ChatsWithLongPrompts(always);
  CHECK_EQUAL_TEXT(400, counts.on_time + counts.late, Describe(counts).c_str());
  CHECK_TEXT(counts.on_time >= 360, Describe(counts).c_str());
}

TEST(LoadReplay, BurstServesUrgentCallsFirstAndRefusesOthersEarly) {
  const Burst burst = BurstOfTwoUrgencies();
  const std::string figures =
      "urgent: " + Describe(burst.urgent) + "; other: " + Describe(burst.other);
  CHECK_EQUAL_TEXT(0, burst.urgent.failed, figures.c_str());
  CHECK_TEXT(burst.urgent.on_time + burst.urgent.late >
                 burst.other.on_time + burst.other.late,
             figures.c_str());
  CHECK_TEXT(burst.other.refused > 0, figures.c_str());
  // A caller gives up after 2.4 s; a refusal must come early enough to retry
  // elsewhere.
  CHECK_TEXT(burst.other.longest_refusal < Millis(2400), figures.c_str());
  // Less urgent calls are not starved.
  CHECK_TEXT(burst.other.on_time + burst.other.late > 20, figures.c_str());
}

// Guards against a burst of one organisation that keeps out another with the
// same urgency, and against refused callers that come back all at once.
TEST(LoadReplay, BurstOfOneOrganisationWaitsBehindItself) {
  DispatchSimulation::Options options;
  options.requires_api_key = true;
  options.organisations = {{OrganisationId("lantern"), {"lantern"}, {}, {}},
                           {OrganisationId("brennan"), {"brennan"}, {}, {}}};
  DispatchSimulation simulation(options, Models(2));
  std::vector<CallId> burst;
  std::vector<CallId> others;
  for (int i = 0; i < 200; ++i) {
    simulation.SetApiKey("lantern");
    for (int n = 0; n < 4; ++n) {
      burst.push_back(simulation.Arrive("summary", 100, 2000,
                                        static_cast<uint64_t>(i % 10), 30));
    }
    if (i % 10 == 0) {
      simulation.SetApiKey("brennan");
      others.push_back(simulation.Arrive(
          "summary", 100, 2000, 500 + static_cast<uint64_t>(i % 10), 30));
    }
    simulation.Advance(Millis(20));
  }
  simulation.Advance(Millis(16000));
  int64_t served = 0;
  std::set<Millis> retries;
  int64_t refused = 0;
  for (const CallId call : burst) {
    const auto& outcome = simulation.outcome(call);
    served += outcome.answered ? 1 : 0;
    if (outcome.refusal == ErrorKind::kOverloaded) {
      ++refused;
      retries.insert(outcome.retry_after);
      CHECK(outcome.retry_after >= Millis(200));
    }
  }
  int64_t others_served = 0;
  for (const CallId call : others) {
    others_served += simulation.outcome(call).answered ? 1 : 0;
  }
  const std::string figures =
      std::to_string(served) + " of " + std::to_string(burst.size()) + ", " +
      std::to_string(others_served) + " of " + std::to_string(others.size()) +
      ", " + std::to_string(retries.size()) + " retry times of " +
      std::to_string(refused);
  UT_PRINT(figures.c_str());
  CHECK_EQUAL_TEXT(static_cast<int64_t>(others.size()), others_served,
                   figures.c_str());
  CHECK_TEXT(served > 0 && refused > 0, figures.c_str());
  CHECK_TEXT(retries.size() > 20, figures.c_str());
}

TEST(LoadReplay, LossOfHalfTheServers) {
  DispatchSimulation simulation({}, Models(8));
  for (int i = 0; i < 300; ++i) {
    if (i == 100) {
      for (size_t lost = 0; lost < 4; ++lost) {
        simulation.server(lost).SetFault(
            ModelServer::Fault::kRefusesConnections);
      }
    }
    simulation.Arrive("summary", 1000, 1000, static_cast<uint64_t>(i % 20), 12);
    simulation.Advance(Millis(40));
  }
  simulation.Advance(Millis(3000));
  const auto counts = simulation.CountOutcomes("summary");
  // None of these calls had run at the servers that refused connections.
  CHECK_TEXT(counts.on_time >= 290, Describe(counts).c_str());
}

TEST(LoadReplay, ServerAtAFifthOfTypicalSpeed) {
  auto servers = Models(6);
  servers[0].slowness = 5;
  DispatchSimulation simulation({}, servers);
  for (int i = 0; i < 400; ++i) {
    simulation.Arrive("chat", 100, 800, static_cast<uint64_t>(i % 60), 20);
    simulation.Advance(Millis(20));
  }
  simulation.Advance(Millis(4000));
  const auto counts = simulation.CountOutcomes("chat");
  CHECK_TEXT(counts.on_time >= 380, Describe(counts).c_str());
  // An even distribution would send it 66.
  CHECK_TEXT(simulation.server(0).ran().size() < 40,
             std::to_string(simulation.server(0).ran().size()).c_str());
}

TEST(LoadReplay, ServerThatFailsHalfOfItsCalls) {
  ModelServer::Options plain;
  plain.service = "plain";
  plain.slots = 6;
  DispatchSimulation simulation({},
                                std::vector<ModelServer::Options>(4, plain));
  simulation.server(0).SetFault(ModelServer::Fault::kFailsEverySecondRun);
  for (int i = 0; i < 400; ++i) {
    simulation.Arrive("order");
    simulation.Advance(Millis(25));
  }
  simulation.Advance(Millis(1500));
  const size_t at_failing = simulation.server(0).ran().size();
  // An even distribution would send it 100.
  CHECK_TEXT(at_failing < 50, std::to_string(at_failing).c_str());
}

TEST(LoadReplay, SharedPromptPartsAreCached) {
  DispatchSimulation simulation({}, Models(6));
  for (int i = 0; i < 200; ++i) {
    simulation.Arrive("summary", 6'000, 500, static_cast<uint64_t>(i % 10), 8);
    simulation.Advance(Millis(50));
  }
  simulation.Advance(Millis(3000));
  int64_t prefilled = 0;
  for (size_t i = 0; i < simulation.servers(); ++i) {
    prefilled += simulation.server(i).prefilled_tokens();
  }
  // The prefill of 200 distinct prompt parts, and of the shared parts of ten
  // sessions at most twice each.
  CHECK_TEXT(prefilled <= 200 * 500 + 10 * 2 * 6'000,
             std::to_string(prefilled).c_str());
}

// A router that has just started has no estimate of how long its servers take.
TEST(LoadReplay, ServersThatWereUnresponsiveAtTheStartServeAgain) {
  ModelServer::Options plain;
  plain.service = "plain";
  plain.slots = 6;
  plain.slowness = 7;
  DispatchSimulation simulation({},
                                std::vector<ModelServer::Options>(4, plain));
  for (size_t i = 0; i < simulation.servers(); ++i) {
    simulation.server(i).SetFault(ModelServer::Fault::kUnresponsive);
  }
  for (int i = 0; i < 600; ++i) {
    if (i == 100) {
      for (size_t server = 0; server < simulation.servers(); ++server) {
        simulation.server(server).SetFault(ModelServer::Fault::kNone);
      }
    }
    simulation.Arrive("status");
    simulation.Advance(Millis(25));
  }
  simulation.Advance(Millis(1500));
  const auto counts = simulation.CountOutcomes("status");
  // Most of the 500 calls that arrived after the servers had recovered.
  CHECK_TEXT(counts.on_time + counts.late >= 300, Describe(counts).c_str());
}
