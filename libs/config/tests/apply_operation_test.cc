#include "config/apply_operation.h"

#include <string>
#include <vector>

#include <CppUTest/TestHarness.h>

using godwit::config::ApplyOperation;
using godwit::config::ApplyOutcome;
using godwit::platform::KvReadDone;
using godwit::platform::KvWriteDone;
using godwit::platform::WriteOutcome;

namespace {

// An answer of the KV: to a read if `read` is set, otherwise to a write.
struct Answer {
  bool read;
  bool available;
  int64_t version;
  std::string value;
  WriteOutcome outcome;
};

Answer ReadDone(int64_t version, std::string value) {
  return {true, true, version, std::move(value), WriteOutcome::kWon};
}
Answer Unavailable() {
  return {true, false, 0, "", WriteOutcome::kWon};
}
Answer WriteDone(WriteOutcome outcome, int64_t version) {
  return {false, true, version, "", outcome};
}

struct Case {
  const char* name;
  std::vector<Answer> answers;
  ApplyOutcome outcome;
  int64_t revision;
};

}  // namespace

TEST_GROUP(ApplyOperation){};

TEST(ApplyOperation, ResultFollowsFromTheAnswers) {
  const std::vector<Case> cases = {
      {"write succeeds",
       {ReadDone(3, "old"), WriteDone(WriteOutcome::kWon, 4)},
       ApplyOutcome::kAccepted,
       4},
      {"text already applied",
       {ReadDone(4, "new")},
       ApplyOutcome::kAccepted,
       4},
      {"other revision than expected",
       {ReadDone(5, "other")},
       ApplyOutcome::kConflict,
       5},
      {"loses a race",
       {ReadDone(3, "old"), WriteDone(WriteOutcome::kLost, 0),
        ReadDone(4, "other")},
       ApplyOutcome::kConflict,
       4},
      {"lost answer that took effect",
       {ReadDone(3, "old"), WriteDone(WriteOutcome::kUnknown, 0),
        ReadDone(4, "new")},
       ApplyOutcome::kAccepted,
       4},
      {"lost answer without effect",
       {ReadDone(3, "old"), WriteDone(WriteOutcome::kUnknown, 0),
        ReadDone(3, "old"), WriteDone(WriteOutcome::kWon, 4)},
       ApplyOutcome::kAccepted,
       4},
      {"write takes effect late, before it is repeated",
       {ReadDone(3, "old"), WriteDone(WriteOutcome::kUnknown, 0),
        ReadDone(3, "old"), WriteDone(WriteOutcome::kLost, 0),
        ReadDone(4, "new")},
       ApplyOutcome::kAccepted,
       4},
      {"lost answer, then overwritten",
       {ReadDone(3, "old"), WriteDone(WriteOutcome::kUnknown, 0),
        ReadDone(5, "other")},
       ApplyOutcome::kUnknown,
       5},
      {"KV unavailable",
       {Unavailable(), Unavailable(), Unavailable(), Unavailable(),
        Unavailable()},
       ApplyOutcome::kUnavailable,
       0},
      {"write not sent",
       {ReadDone(3, "old"), WriteDone(WriteOutcome::kNotSent, 0), Unavailable(),
        Unavailable(), Unavailable(), Unavailable()},
       ApplyOutcome::kUnavailable,
       0},
      {"KV unavailable after a lost answer",
       {ReadDone(3, "old"), WriteDone(WriteOutcome::kUnknown, 0), Unavailable(),
        Unavailable(), Unavailable(), Unavailable()},
       ApplyOutcome::kUnknown,
       0},
  };
  for (const Case& c : cases) {
    ApplyOperation apply("new", 3);
    int64_t operation = 0;
    for (const Answer& answer : c.answers) {
      CHECK_TEXT(apply.Next().has_value(), c.name);
      ++operation;
      if (answer.read) {
        apply.OnResult(KvReadDone{operation, answer.available,
                                  godwit::platform::KvVersion(answer.version),
                                  answer.value});
      } else {
        apply.OnResult(
            KvWriteDone{operation, answer.outcome,
                        godwit::platform::KvVersion(answer.version)});
      }
    }
    CHECK_TEXT(!apply.Next().has_value(), c.name);
    CHECK_TEXT(apply.result()->outcome == c.outcome, c.name);
    CHECK_TEXT(apply.result()->revision == c.revision, c.name);
  }
}
