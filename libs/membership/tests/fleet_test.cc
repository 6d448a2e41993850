#include <map>
#include <string>
#include <variant>
#include <vector>

#include "membership/fleet_codec.h"
#include "membership/fleet_editor.h"
#include "membership/fleet_record.h"

#include <CppUTest/TestHarness.h>

using godwit::base::DataCentreId;
using godwit::base::ErrorKind;
using godwit::base::Incarnation;
using godwit::base::Millis;
using godwit::base::ProcessId;
using godwit::base::Seconds;
using godwit::membership::AgentState;
using godwit::membership::FleetAgent;
using godwit::membership::FleetCodec;
using godwit::membership::FleetCommand;
using godwit::membership::FleetEdit;
using godwit::membership::FleetEditor;
using godwit::membership::FleetRecord;
using godwit::membership::Join;
using godwit::membership::MarkLeaving;
using godwit::membership::MarkRemoved;
using godwit::membership::Prune;
using godwit::platform::KvRead;
using godwit::platform::KvReadDone;
using godwit::platform::KvVersion;
using godwit::platform::KvWrite;
using godwit::platform::KvWriteDone;
using godwit::platform::WriteOutcome;

namespace {

FleetAgent Agent(const std::string& process,
                 const std::string& incarnation_id,
                 int64_t joined_s,
                 AgentState state = AgentState::kActive,
                 int64_t removed_s = 0) {
  return FleetAgent{Incarnation(incarnation_id),
                    ProcessId(process),
                    "127.0.0.1",
                    9000,
                    DataCentreId("a"),
                    state,
                    Seconds(joined_s),
                    Seconds(removed_s)};
}

FleetRecord Apply(const FleetRecord& start,
                  const std::vector<FleetEdit>& edits) {
  FleetRecord record = start;
  for (const FleetEdit& edit : edits) {
    record = record.Apply(edit);
  }
  return record;
}

}  // namespace

TEST_GROUP(FleetRecord){};

TEST(FleetRecord, AppliesEditsOnceAndForwardOnly) {
  const Join join{Agent("p", "p1", 10)};
  const Join rejoin{Agent("p", "p2", 20)};
  struct Case {
    std::vector<FleetEdit> edits;
    std::vector<FleetAgent> expected;
  };
  const std::vector<Case> cases = {
      {{join, join}, {join.agent}},
      {{join, MarkLeaving{Incarnation("p1")}},
       {Agent("p", "p1", 10, AgentState::kLeaving)}},
      {{join, MarkLeaving{Incarnation("p1")}, join},
       {Agent("p", "p1", 10, AgentState::kLeaving)}},
      {{join, MarkRemoved{Incarnation("p1"), Seconds(30)},
        MarkRemoved{Incarnation("p1"), Seconds(40)},
        MarkLeaving{Incarnation("p1")}, join},
       {Agent("p", "p1", 10, AgentState::kRemoved, 30)}},
      {{join, rejoin},
       {Agent("p", "p1", 10, AgentState::kRemoved, 20), rejoin.agent}},
      {{join, MarkRemoved{Incarnation("p1"), Seconds(30)}, Prune{Seconds(29)}},
       {Agent("p", "p1", 10, AgentState::kRemoved, 30)}},
      {{join, MarkRemoved{Incarnation("p1"), Seconds(30)}, Prune{Seconds(30)}},
       {}},
      {{join, Prune{Seconds(99)}, MarkRemoved{Incarnation("x"), Seconds(1)}},
       {join.agent}},
  };
  for (const Case& c : cases) {
    CHECK(Apply(FleetRecord(), c.edits) == FleetRecord(c.expected));
  }
}

TEST(FleetRecord, FindsIncarnationsAndDuePruning) {
  const FleetRecord record({Agent("p", "p2", 20),
                            Agent("p", "p1", 10, AgentState::kRemoved, 20),
                            Agent("q", "q1", 5, AgentState::kLeaving)});
  CHECK(record.agents().front().incarnation == Incarnation("q1"));
  CHECK(record.Find(Incarnation("p1"))->state == AgentState::kRemoved);
  POINTERS_EQUAL(nullptr, record.Find(Incarnation("p3")));
  CHECK(record.FindLive(ProcessId("p"))->incarnation == Incarnation("p2"));
  POINTERS_EQUAL(nullptr, record.FindLive(ProcessId("r")));
  CHECK_FALSE(record.PruneDue(Seconds(919)).has_value());
  CHECK(record.PruneDue(Seconds(920)) == Prune{Seconds(20)});
}

TEST_GROUP(FleetCodec){};

TEST(FleetCodec, DecodesWhatItEncoded) {
  FleetCodec codec;
  const FleetRecord record({Agent("p", "p1", 10, AgentState::kRemoved, 20),
                            Agent("q", "q1", 5, AgentState::kLeaving)});
  CHECK(codec.Decode(codec.Encode(record)) == record);
  CHECK(codec.Decode("") == FleetRecord());
}

TEST(FleetCodec, RejectsCorruptBytes) {
  FleetCodec codec;
  const std::string good = codec.Encode(FleetRecord({Agent("p", "p1", 10)}));
  std::vector<std::string> corrupt = {
      "x", "\x80", "\xff\xff", good + "x",
      // A map that declares 2^63 members.
      "\x82\x01\x81\xbb\xbb\xbb\xbb\xbb\xbb\xbb\xbb\xbb"};
  for (size_t length = 1; length < good.size(); ++length) {
    corrupt.push_back(good.substr(0, length));
  }
  for (const std::string& bytes : corrupt) {
    CHECK_FALSE(codec.Decode(bytes).has_value());
    CHECK(codec.last_error().kind() == ErrorKind::kCorrupt);
    CHECK_FALSE(codec.last_error().remedy().empty());
  }
}

// A KV with one key whose next write outcomes are set by the test.
TEST_GROUP(FleetEditor) {
  void Run(FleetEditor & editor, std::vector<FleetCommand> commands) {
    for (int step = 0; step < 100 && !editor.idle(); ++step) {
      std::vector<FleetCommand> next;
      for (const FleetCommand& command : commands) {
        next = Answer(editor, command);
      }
      now = now + Millis(100);
      commands = next.empty() ? editor.Tick(now) : next;
    }
    CHECK(editor.idle());
  }

  std::vector<FleetCommand> Answer(FleetEditor & editor,
                                   const FleetCommand& command) {
    if (const auto* read = std::get_if<KvRead>(&command)) {
      const bool available = failed_reads-- <= 0;
      return editor.OnReadDone(now,
                               KvReadDone{read->operation, available,
                                          KvVersion(available ? version : 0),
                                          available ? value : std::string()});
    }
    const auto& write = std::get<KvWrite>(command);
    ++writes;
    WriteOutcome outcome = WriteOutcome::kWon;
    if (!outcomes.empty()) {
      outcome = outcomes.front();
      outcomes.erase(outcomes.begin());
    }
    if (outcome == WriteOutcome::kLost) {
      // Another writer won the compare-and-swap.
      FleetCodec codec;
      value = codec.Encode(
          codec.Decode(value)->Apply(Join{Agent("other", "other1", 1)}));
      ++version;
    }
    const bool effect =
        outcome == WriteOutcome::kWon ||
        (outcome == WriteOutcome::kUnknown && unknown_takes_effect);
    if (effect) {
      LONGS_EQUAL(version, write.expected_version.revision);
      value = write.value;
      ++version;
    }
    const bool won = outcome == WriteOutcome::kWon;
    return editor.OnWriteDone(now, KvWriteDone{write.operation, outcome,
                                               KvVersion(won ? version : 0)});
  }

  std::string value;
  int64_t version = 0;
  Millis now;
  int failed_reads = 0;
  int writes = 0;
  bool unknown_takes_effect = false;
  std::vector<WriteOutcome> outcomes;
};

TEST(FleetEditor, AppliesTheEditForEveryWriteOutcome) {
  struct Case {
    std::vector<WriteOutcome> outcomes;
    bool unknown_takes_effect;
    int failed_reads;
    int writes;
  };
  const std::vector<Case> cases = {
      {{}, false, 0, 1},
      {{}, false, 3, 1},
      {{WriteOutcome::kLost}, false, 0, 2},
      {{WriteOutcome::kNotSent}, false, 0, 2},
      {{WriteOutcome::kUnknown}, false, 0, 2},
      {{WriteOutcome::kUnknown}, true, 0, 1},
      {{WriteOutcome::kUnknown, WriteOutcome::kLost}, false, 2, 3},
  };
  for (const Case& c : cases) {
    value.clear();
    version = 0;
    writes = 0;
    outcomes = c.outcomes;
    unknown_takes_effect = c.unknown_takes_effect;
    failed_reads = c.failed_reads;
    FleetEditor editor{std::mt19937_64(1)};
    const FleetAgent agent = Agent("p", "p1", 10);
    Run(editor, editor.Submit(now, Join{agent}));
    LONGS_EQUAL(c.writes, writes);
    CHECK(*editor.record().Find(Incarnation("p1")) == agent);
    LONGS_EQUAL(version, editor.version());
  }
}

TEST(FleetEditor, NeverOverwritesACorruptRecord) {
  value = "damaged";
  version = 7;
  FleetEditor editor{std::mt19937_64(1)};
  std::vector<FleetCommand> commands =
      editor.Submit(now, Join{Agent("p", "p1", 10)});
  for (int i = 0; i < 50; ++i) {
    for (const FleetCommand& command : commands) {
      CHECK(std::holds_alternative<KvRead>(command));
      Answer(editor, command);
    }
    now = now + Seconds(1);
    commands = editor.Tick(now);
  }
  CHECK_FALSE(editor.idle());
  CHECK(editor.last_error().kind() == ErrorKind::kCorrupt);
}
