#include <rapidcheck.h>

#include <deque>
#include <optional>
#include <random>
#include <string>
#include <variant>
#include <vector>

#include "base/digest.h"
#include "stream/answer_assembler.h"

#include <CppUTest/TestHarness.h>

using godwit::base::AttemptId;
using godwit::base::Digest;
using godwit::link::RunData;
using godwit::link::RunEnd;
using godwit::link::RunHead;
using godwit::stream::AnswerAssembler;
using godwit::stream::AssemblerStep;

namespace {

using Frame = std::variant<RunHead, RunData, RunEnd>;

constexpr int kMaxSteps = 10'000;
const Digest kKey(1, 2);
const Digest kOtherKey(1, 3);
const AttemptId kAttempt("attempt-1");
const AttemptId kOtherAttempt("attempt-2");

RunHead Head() {
  return {kKey, kAttempt, 200, "text/event-stream"};
}
RunData Data(int64_t offset, std::string bytes) {
  return {kKey, kAttempt, offset, std::move(bytes), 0};
}
RunEnd End(const std::string& answer) {
  RunEnd end;
  end.key = kKey;
  end.attempt = kAttempt;
  end.length = static_cast<int64_t>(answer.size());
  end.digest = Digest::Of(answer);
  return end;
}

template <typename Assembler>
AssemblerStep Feed(Assembler& assembler, const Frame& frame) {
  if (const auto* head = std::get_if<RunHead>(&frame)) {
    return assembler.OnHead(*head);
  }
  if (const auto* data = std::get_if<RunData>(&frame)) {
    return assembler.OnData(*data);
  }
  return assembler.OnEnd(std::get<RunEnd>(frame));
}

// The frames an agent sends after AttachRun at `offset`, in pieces of random
// size.
std::vector<Frame> Replay(const std::string& answer,
                          int64_t offset,
                          std::mt19937_64& random) {
  std::vector<Frame> frames = {Head()};
  auto at = static_cast<size_t>(offset);
  while (at < answer.size()) {
    const std::string piece = answer.substr(at, 1 + random() % 7);
    frames.emplace_back(Data(static_cast<int64_t>(at), piece));
    at += piece.size();
  }
  frames.emplace_back(End(answer));
  return frames;
}

Frame FromAnotherRun(const Frame& frame, std::mt19937_64& random) {
  const bool other_key = random() % 2 == 0;
  return std::visit(
      [&](auto copy) -> Frame {
        copy.key = other_key ? kOtherKey : kKey;
        copy.attempt = other_key ? kAttempt : kOtherAttempt;
        if constexpr (std::is_same_v<decltype(copy), RunData>) {
          copy.bytes.assign(copy.bytes.size(), '#');
        }
        return copy;
      },
      frame);
}

// Duplicates, reorders and drops frames, and inserts frames of other runs.
void PerturbFrames(std::vector<Frame>& frames, std::mt19937_64& random) {
  const size_t count = frames.size();
  for (size_t i = 0; i < count; ++i) {
    const Frame& picked = frames[random() % frames.size()];
    switch (random() % 6) {
      case 0:
        frames.push_back(picked);
        break;
      case 1:
        frames.push_back(FromAnotherRun(picked, random));
        break;
      case 2:
        std::swap(frames[random() % frames.size()],
                  frames[random() % frames.size()]);
        break;
      case 3:
        frames.erase(frames.begin() +
                     static_cast<int64_t>(random() % frames.size()));
        break;
      default:
        break;
    }
    if (frames.empty()) {
      return;
    }
  }
}

// What the caller received of one answer with perturbed frames.
struct Outcome {
  int heads = 0;
  int completions = 0;
  bool corrupt = false;
  std::string bytes;
};

// Feeds perturbed frames. Each AttachRun request is answered by a replay that
// is perturbed as well; a link without frames is followed by an intact replay.
template <typename Assembler>
Outcome Deliver(const std::string& answer, uint64_t seed) {
  std::mt19937_64 random(seed);
  Assembler assembler(kKey, kAttempt);
  std::vector<Frame> first = Replay(answer, 0, random);
  PerturbFrames(first, random);
  std::deque<Frame> in_flight(first.begin(), first.end());
  Outcome outcome;
  for (int i = 0; i < kMaxSteps && outcome.completions == 0; ++i) {
    if (in_flight.empty()) {
      const auto replay = Replay(answer, assembler.offset(), random);
      in_flight.assign(replay.begin(), replay.end());
    }
    const AssemblerStep step = Feed(assembler, in_flight.front());
    in_flight.pop_front();
    outcome.heads += step.head.has_value() ? 1 : 0;
    outcome.completions += step.complete ? 1 : 0;
    outcome.corrupt = outcome.corrupt || step.corrupt;
    outcome.bytes += step.bytes;
    if (step.attach) {
      auto replay = Replay(answer, assembler.offset(), random);
      PerturbFrames(replay, random);
      in_flight.insert(in_flight.end(), replay.begin(), replay.end());
    }
  }
  while (!in_flight.empty()) {
    const AssemblerStep step = Feed(assembler, in_flight.front());
    in_flight.pop_front();
    outcome.completions += step.complete ? 1 : 0;
    outcome.bytes += step.bytes;
  }
  return outcome;
}

template <typename Assembler>
bool AnswersAreComplete() {
  return rc::check([](const std::string& answer, uint64_t seed) {
    const Outcome outcome = Deliver<Assembler>(answer, seed);
    RC_ASSERT(outcome.bytes == answer);
    RC_ASSERT(outcome.heads == 1);
    RC_ASSERT(outcome.completions == 1);
    RC_ASSERT(!outcome.corrupt);
  });
}

// Injected fault: accepts frames of any attempt.
class IgnoresAttempt : public AnswerAssembler {
 public:
  using AnswerAssembler::AnswerAssembler;
  AssemblerStep OnData(RunData frame) {
    frame.key = kKey;
    frame.attempt = kAttempt;
    return AnswerAssembler::OnData(std::move(frame));
  }
};

// Injected fault: appends pieces in the order of arrival.
class IgnoresOffset : public AnswerAssembler {
 public:
  using AnswerAssembler::AnswerAssembler;
  AssemblerStep OnData(RunData frame) {
    frame.offset = offset();
    return AnswerAssembler::OnData(std::move(frame));
  }
};

}  // namespace

TEST_GROUP(AnswerAssembler){};

TEST(AnswerAssembler, PerturbedFramesNeverChangeTheAnswer) {
  CHECK(AnswersAreComplete<AnswerAssembler>());
}

TEST(AnswerAssembler, PropertyDetectsInjectedFaults) {
  CHECK_FALSE(AnswersAreComplete<IgnoresAttempt>());
  CHECK_FALSE(AnswersAreComplete<IgnoresOffset>());
}

TEST(AnswerAssembler, ResumesAfterThePrefixOfAnEarlierAttempt) {
  AnswerAssembler assembler(kKey, kAttempt);
  assembler.Resume("ab");
  CHECK(assembler.OnHead(Head()).head.has_value());
  CHECK(assembler.OnData(Data(0, "abc")).bytes == "c");
  CHECK(assembler.OnData(Data(3, "d")).bytes == "d");
  CHECK(assembler.OnEnd(End("abcd")).complete);
}

TEST(AnswerAssembler, EachFrameHasTheExpectedEffect) {
  struct Case {
    const char* name;
    std::vector<Frame> before;
    Frame frame;
    bool dropped;
    bool attach;
    bool complete;
    bool corrupt;
    const char* bytes;
  };
  RunEnd mismatched_digest = End("abcd");
  mismatched_digest.digest = Digest::Of("abce");
  const Case cases[] = {
      {"in order",
       {Head()},
       Data(0, "abcd"),
       false,
       false,
       false,
       false,
       "abcd"},
      {"overlap",
       {Head(), Data(0, "ab")},
       Data(1, "bcd"),
       false,
       false,
       false,
       false,
       "cd"},
      {"late",
       {Head(), Data(0, "abcd")},
       Data(1, "bc"),
       true,
       false,
       false,
       false,
       ""},
      {"gap", {Head()}, Data(2, "cd"), true, true, false, false, ""},
      {"gap once",
       {Head(), Data(2, "cd")},
       Data(4, "ef"),
       true,
       false,
       false,
       false,
       ""},
      {"gap again after replay",
       {Head(), Data(2, "cd")},
       Data(1, "b"),
       true,
       true,
       false,
       false,
       ""},
      {"data before head", {}, Data(0, "ab"), true, true, false, false, ""},
      {"second head", {Head()}, Head(), true, false, false, false, ""},
      {"empty piece", {Head()}, Data(0, ""), true, false, false, false, ""},
      {"negative offset",
       {Head()},
       Data(-1, "ab"),
       true,
       false,
       false,
       false,
       ""},
      {"offset overflow",
       {Head()},
       Data(INT64_MAX, "ab"),
       true,
       false,
       false,
       false,
       ""},
      {"end",
       {Head(), Data(0, "abcd")},
       End("abcd"),
       false,
       false,
       true,
       false,
       ""},
      {"empty answer", {Head()}, End(""), false, false, true, false, ""},
      {"end before data",
       {Head(), Data(0, "ab")},
       End("abcd"),
       true,
       true,
       false,
       false,
       ""},
      {"end too short",
       {Head(), Data(0, "abcd")},
       End("abc"),
       false,
       false,
       false,
       true,
       ""},
      {"mismatched digest",
       {Head(), Data(0, "abcd")},
       mismatched_digest,
       false,
       false,
       false,
       true,
       ""},
      {"after end",
       {Head(), End("")},
       Data(0, "ab"),
       true,
       false,
       false,
       false,
       ""},
      {"after corrupt",
       {Head(), Data(0, "abcd"), mismatched_digest},
       End("abcd"),
       true,
       false,
       false,
       false,
       ""},
  };
  for (const Case& c : cases) {
    AnswerAssembler assembler(kKey, kAttempt);
    for (const Frame& frame : c.before) {
      Feed(assembler, frame);
    }
    const AssemblerStep step = Feed(assembler, c.frame);
    CHECK_EQUAL_TEXT(c.dropped, step.dropped, c.name);
    CHECK_EQUAL_TEXT(c.attach, step.attach, c.name);
    CHECK_EQUAL_TEXT(c.complete, step.complete, c.name);
    CHECK_EQUAL_TEXT(c.corrupt, step.corrupt, c.name);
    CHECK_TEXT(c.bytes == step.bytes, c.name);
  }
}
