#include <string>
#include <vector>

#include "dispatch/backend.h"
#include "dispatch/choice.h"
#include "dispatch/placement.h"
#include "dispatch/placement_options.h"
#include "dispatch/placement_request.h"
#include "dispatch/prompt.h"

#include <CppUTest/TestHarness.h>

using godwit::base::Millis;
using godwit::base::ServiceId;
using godwit::base::Tokens;
using godwit::dispatch::Backend;
using godwit::dispatch::Choice;
using godwit::dispatch::EngineProfile;
using godwit::dispatch::LoadReport;
using godwit::dispatch::Placement;
using godwit::dispatch::PlacementOptions;
using godwit::dispatch::PlacementRequest;
using godwit::dispatch::Prompt;
using Kind = Choice::Kind;

namespace {

constexpr Tokens kMemory = 10'000;

// One server that may hold 9,000 tokens: 0.9 of its memory.
class OneServer {
 public:
  explicit OneServer(bool has_model) : placement_(Options(has_model)) {
    backend_.instance = "s1";
    backend_.service = ServiceId("model");
    backend_.slots = 16;
  }

  // Starts a request if it is placed.
  Kind Send(Tokens input, Tokens max_output) {
    Prompt prompt;
    prompt.input_tokens = input;
    prompt.max_output_tokens = max_output;
    prompt.parts = {{static_cast<uint64_t>(attempt_ + 1), input}};
    PlacementRequest request;
    request.service = ServiceId("model");
    request.prompt = &prompt;
    request.engine = EngineProfile{16, kMemory, 4};
    const Choice choice = placement_.Choose(Millis(1000), request, {&backend_});
    if (choice.kind == Kind::kPlaced) {
      placement_.OnStarted(Millis(1000), ++attempt_, backend_, request);
    }
    return choice.kind;
  }
  void Answer(const LoadReport& load) {
    placement_.OnAnswered(Millis(1100), attempt_, load);
  }
  void End() {
    placement_.OnEnded(Millis(1200), attempt_, Placement::Outcome::kServed);
  }

 private:
  static PlacementOptions Options(bool has_model) {
    PlacementOptions options;
    if (has_model) {
      options.capacity_model = PlacementOptions::CapacityModelUse::kAlways;
    }
    return options;
  }

  Placement placement_;
  Backend backend_;
  int64_t attempt_ = 0;
};

}  // namespace

TEST_GROUP(PlacementMemory){};

// Guards against requests that are sent to a server whose memory is full, and
// against limits where the capacity model does not apply.
TEST(PlacementMemory, ARequestNeedsItsPromptAndHalfOfItsOutput) {
  struct Case {
    const char* name;
    bool has_model;
    // Tokens of the prompt and the output of a request in progress; 0 if none.
    Tokens input;
    Tokens output;
    Tokens next_input;
    Tokens next_output;
    Kind kind;
  };
  const std::vector<Case> cases = {
      {"fits alone", true, 0, 0, 8'000, 2'000, Kind::kPlaced},
      {"fits into an idle server only", true, 0, 0, 8'000, 2'002,
       Kind::kPlaced},
      {"fits into no busy server", true, 500, 0, 9'500, 0, Kind::kNoCapacity},
      {"too large", true, 0, 0, 9'000, 2'002, Kind::kTooLarge},
      {"too large beside another", true, 500, 0, 10'001, 0, Kind::kTooLarge},
      {"fits beside another", true, 4'000, 2'000, 3'000, 2'000, Kind::kPlaced},
      {"no room", true, 4'000, 2'000, 3'000, 2'002, Kind::kNoCapacity},
      {"without the model", false, 8'000, 2'000, 9'500, 0, Kind::kPlaced},
  };
  for (const Case& c : cases) {
    OneServer server(c.has_model);
    if (c.input > 0) {
      CHECK_TEXT(Kind::kPlaced == server.Send(c.input, c.output), c.name);
    }
    CHECK_TEXT(c.kind == server.Send(c.next_input, c.next_output), c.name);
  }
}

// Guards against memory that stays taken when a request ends.
TEST(PlacementMemory, MemoryIsFreeWhenARequestEnds) {
  OneServer server(true);
  CHECK(Kind::kPlaced == server.Send(8'000, 0));
  CHECK(Kind::kNoCapacity == server.Send(8'000, 0));
  server.End();
  CHECK(Kind::kPlaced == server.Send(8'000, 0));
}

// Guards against routers that count their own requests only.
TEST(PlacementMemory, RequestsOfOtherRoutersHoldTheMean) {
  OneServer server(true);
  CHECK(Kind::kPlaced == server.Send(2'000, 0));
  // Three of other routers beside the own one.
  server.Answer({4, 0, 16, 100});
  CHECK(Kind::kNoCapacity == server.Send(1'500, 0));
  CHECK(Kind::kPlaced == server.Send(1'000, 0));
}
