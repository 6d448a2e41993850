#include "config/apply.h"

#include <string>
#include <vector>

#include <CppUTest/TestHarness.h>

using godwit::config::Apply;
using godwit::config::ApplyOutcome;
using godwit::platform::KvReadDone;
using godwit::platform::KvWriteDone;
using godwit::platform::WriteOutcome;

namespace {

// An answer of the KV: a read when `read` is set, else a write.
struct Answer {
  bool read;
  bool available;
  int64_t version;
  std::string value;
  WriteOutcome outcome;
};

Answer Read(int64_t version, std::string value) {
  return {true, true, version, std::move(value), WriteOutcome::kWon};
}
Answer Down() {
  return {true, false, 0, "", WriteOutcome::kWon};
}
Answer Wrote(WriteOutcome outcome, int64_t version) {
  return {false, true, version, "", outcome};
}

struct Case {
  const char* name;
  std::vector<Answer> answers;
  ApplyOutcome outcome;
  int64_t revision;
};

}  // namespace

TEST_GROUP(Apply){};

TEST(Apply, EndsAsTheAnswersSay) {
  const std::vector<Case> cases = {
      {"wins",
       {Read(3, "old"), Wrote(WriteOutcome::kWon, 4)},
       ApplyOutcome::kAccepted,
       4},
      {"repeated", {Read(4, "new")}, ApplyOutcome::kAccepted, 4},
      {"other base", {Read(5, "other")}, ApplyOutcome::kConflict, 5},
      {"loses a race",
       {Read(3, "old"), Wrote(WriteOutcome::kLost, 0), Read(4, "other")},
       ApplyOutcome::kConflict,
       4},
      {"lost answer that took effect",
       {Read(3, "old"), Wrote(WriteOutcome::kUnknown, 0), Read(4, "new")},
       ApplyOutcome::kAccepted,
       4},
      {"lost answer without effect",
       {Read(3, "old"), Wrote(WriteOutcome::kUnknown, 0), Read(3, "old"),
        Wrote(WriteOutcome::kWon, 4)},
       ApplyOutcome::kAccepted,
       4},
      {"late effect beats the repetition",
       {Read(3, "old"), Wrote(WriteOutcome::kUnknown, 0), Read(3, "old"),
        Wrote(WriteOutcome::kLost, 0), Read(4, "new")},
       ApplyOutcome::kAccepted,
       4},
      {"lost answer, then overwritten",
       {Read(3, "old"), Wrote(WriteOutcome::kUnknown, 0), Read(5, "other")},
       ApplyOutcome::kUnknown,
       5},
      {"KV down",
       {Down(), Down(), Down(), Down(), Down()},
       ApplyOutcome::kUnavailable,
       0},
      {"never sent",
       {Read(3, "old"), Wrote(WriteOutcome::kNotSent, 0), Down(), Down(),
        Down(), Down()},
       ApplyOutcome::kUnavailable,
       0},
      {"down after a lost answer",
       {Read(3, "old"), Wrote(WriteOutcome::kUnknown, 0), Down(), Down(),
        Down(), Down()},
       ApplyOutcome::kUnknown,
       0},
  };
  for (const Case& c : cases) {
    Apply apply("new", 3);
    int64_t operation = 0;
    for (const Answer& answer : c.answers) {
      CHECK_TEXT(apply.Next().has_value(), c.name);
      ++operation;
      if (answer.read) {
        apply.Answer(KvReadDone{operation, answer.available, answer.version,
                                answer.value});
      } else {
        apply.Answer(KvWriteDone{operation, answer.outcome, answer.version});
      }
    }
    CHECK_TEXT(!apply.Next().has_value(), c.name);
    CHECK_TEXT(apply.result()->outcome == c.outcome, c.name);
    CHECK_TEXT(apply.result()->revision == c.revision, c.name);
  }
}
