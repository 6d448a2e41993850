#include <rapidcheck.h>

#include <functional>
#include <map>
#include <random>
#include <set>
#include <string>
#include <utility>
#include <variant>
#include <vector>

#include "agent/agent_core.h"
#include "base/digest.h"
#include "base/error_kind.h"

#include <CppUTest/TestHarness.h>

using godwit::base::AttemptId;
using godwit::base::Digest;
using godwit::base::ErrorKind;
using godwit::base::GrantId;
using godwit::base::Incarnation;
using godwit::base::Millis;
using godwit::base::ProcessId;
using godwit::base::Seconds;
using godwit::base::Tokens;
using godwit::config::ServiceKind;
using godwit::link::ConnectionId;
using godwit::link::RunPhase;
using godwit::link::StartRun;

namespace godwit::agent {
namespace {

const Incarnation kIncarnation("agent-1/a");
const GrantId kGrant("grant-1");
constexpr ConnectionId kRouter = 1;
constexpr ConnectionId kOtherRouter = 2;

AgentOptions Options(ServiceKind kind) {
  AgentOptions options;
  options.incarnation = kIncarnation;
  options.kind = kind;
  options.max_running = 2;
  options.max_queued = 2;
  options.pause_bytes = 4;
  return options;
}

StartRun Start(const std::string& attempt) {
  StartRun start;
  start.attempt = AttemptId(attempt);
  start.key = Digest::Of(attempt);
  start.grant = kGrant;
  start.reserved = 100;
  start.claimed = kIncarnation;
  start.deadline_in = Seconds(60);
  start.credit = 1000;
  return start;
}

// An AgentCore with links to two routers, and the commands that it issued.
class AgentHarness {
 public:
  explicit AgentHarness(ServiceKind kind = ServiceKind::kModelPool)
      : core(Options(kind)) {
    Step(LinkUp{kRouter, ProcessId("router-1"), Incarnation("router-1/a")});
    Step(
        LinkUp{kOtherRouter, ProcessId("router-2"), Incarnation("router-2/a")});
  }

  void Step(const AgentEvent& event) {
    for (AgentCommand& command : core.Step(now, event)) {
      commands.push_back(std::move(command));
    }
  }
  void Receive(link::Message message, ConnectionId from = kRouter) {
    Step(LinkMessage{from, std::move(message)});
  }
  // Starts a run at the backend server, which answers with status 200.
  void Open(const StartRun& start) {
    Receive(start);
    Step(BackendHead{start.attempt, 200, "text/plain"});
  }

  // Returns the messages of a type sent on a link.
  template <typename Type>
  std::vector<Type> Sent(ConnectionId to = kRouter) const {
    std::vector<Type> messages;
    for (const AgentCommand& command : commands) {
      const auto* send = std::get_if<SendMessage>(&command);
      if (send != nullptr && send->connection == to &&
          std::holds_alternative<Type>(send->message)) {
        messages.push_back(std::get<Type>(send->message));
      }
    }
    return messages;
  }
  template <typename Type>
  int Count() const {
    int count = 0;
    for (const AgentCommand& command : commands) {
      count += std::holds_alternative<Type>(command) ? 1 : 0;
    }
    return count;
  }
  std::string Answer(ConnectionId to = kRouter) const {
    std::string answer;
    for (const link::RunData& data : Sent<link::RunData>(to)) {
      answer += data.bytes;
    }
    return answer;
  }

  AgentCore core;
  Millis now = Seconds(1000);
  std::vector<AgentCommand> commands;
};

}  // namespace

TEST_GROUP(AgentCore){};

TEST(AgentCore, RefusesStartsThatMustNotRun) {
  struct Case {
    const char* name;
    std::function<void(AgentHarness&, StartRun&)> change;
    ErrorKind kind;
  };
  const Case cases[] = {
      {"sealed grant",
       [](AgentHarness& harness, StartRun&) {
         harness.Receive(link::SealGrant{kGrant});
       },
       ErrorKind::kStale},
      {"forgotten grant",
       [](AgentHarness& harness, StartRun&) {
         harness.Receive(link::ForgetGrant{kGrant});
       },
       ErrorKind::kStale},
      {"leaving",
       [](AgentHarness& harness, StartRun&) { harness.Step(DrainRequested()); },
       ErrorKind::kLeaving},
      {"claim of another incarnation",
       [](AgentHarness&, StartRun& start) {
         start.repeatable = false;
         start.claimed = Incarnation("agent-1/b");
       },
       ErrorKind::kStale},
      {"past deadline",
       [](AgentHarness&, StartRun& start) { start.deadline_in = Millis(0); },
       ErrorKind::kDeadlineExceeded},
      {"negative reservation",
       [](AgentHarness&, StartRun& start) { start.reserved = -1; },
       ErrorKind::kInvalidArgument},
      {"queue full",
       [](AgentHarness& harness, StartRun&) {
         for (const char* attempt : {"a", "b", "c", "d"}) {
           harness.Receive(Start(attempt));
         }
       },
       ErrorKind::kOverloaded},
      {"tombstone",
       [](AgentHarness& harness, StartRun& start) {
         harness.Receive(link::TombstoneRun{start.attempt});
       },
       ErrorKind::kCancelled},
  };
  for (const Case& c : cases) {
    AgentHarness harness;
    StartRun start = Start("run");
    c.change(harness, start);
    const int calls = harness.Count<CallBackend>();
    harness.Receive(start);
    harness.Receive(start);
    CHECK_EQUAL_TEXT(calls, harness.Count<CallBackend>(), c.name);
    CHECK_EQUAL_TEXT(2U, harness.Sent<link::RunRefused>().size(), c.name);
    CHECK_TEXT(harness.Sent<link::RunRefused>()[0].kind == c.kind, c.name);
    CHECK_TEXT(harness.core.phase(start.attempt) == RunPhase::kTombstoned,
               c.name);
  }
}

TEST(AgentCore, BillsByOutcomeAndServiceKind) {
  struct Case {
    const char* name;
    ServiceKind kind;
    int64_t status;
    AgentEvent last;
    Tokens billed;
    RunPhase phase;
  };
  const AttemptId run("run");
  const AgentEvent usage = BackendEnd{run, 30, 20};
  const AgentEvent truncated =
      BackendFailed{run, true, ErrorKind::kBackendFailed, ""};
  const AgentEvent cancel =
      LinkMessage{kRouter, link::Message(link::CancelRun{run})};
  const auto model = ServiceKind::kModelPool;
  const auto plain = ServiceKind::kPlain;
  const Case cases[] = {
      {"usage", model, 200, usage, 50, RunPhase::kComplete},
      {"capped", model, 200, BackendEnd{run, 30, 900}, 100,
       RunPhase::kComplete},
      {"overflow", model, 200, BackendEnd{run, INT64_MAX, INT64_MAX}, 100,
       RunPhase::kComplete},
      {"engine refuses the request", model, 400, usage, 0, RunPhase::kComplete},
      {"engine fails", model, 503, usage, 0, RunPhase::kFailed},
      {"truncated", model, 200, truncated, 0, RunPhase::kFailed},
      {"cancelled", model, 200, cancel, 3, RunPhase::kFailed},
      {"plain", plain, 200, usage, 100, RunPhase::kComplete},
      {"plain 404", plain, 404, usage, 100, RunPhase::kComplete},
      {"plain 500", plain, 500, usage, 0, RunPhase::kComplete},
      {"plain truncated", plain, 200, truncated, 0, RunPhase::kFailed},
  };
  for (const Case& c : cases) {
    AgentHarness harness(c.kind);
    harness.Receive(Start("run"));
    CHECK_EQUAL_TEXT(100, harness.core.usage(kGrant).running, c.name);
    harness.Step(BackendHead{run, c.status, "text/plain"});
    harness.Step(BackendData{run, "abc", c.kind == model ? 3 : 0});
    harness.Step(c.last);
    CHECK_EQUAL_TEXT(c.billed, harness.core.usage(kGrant).billed, c.name);
    CHECK_EQUAL_TEXT(0, harness.core.usage(kGrant).running, c.name);
    CHECK_TEXT(harness.core.phase(run) == c.phase, c.name);
  }
}

TEST(AgentCore, ReportsCallThatWasNotSentAsRefused) {
  AgentHarness harness;
  harness.Receive(Start("run"));
  harness.Step(BackendFailed{AttemptId("run"), false, ErrorKind::kUnavailable,
                             "connection refused"});
  CHECK_EQUAL(1U, harness.Sent<link::RunRefused>().size());
  CHECK(harness.core.phase(AttemptId("run")) == RunPhase::kTombstoned);
  CHECK_EQUAL(0, harness.core.usage(kGrant).running);
}

TEST(AgentCore, StreamsWithinCreditAndPausesTheBackend) {
  AgentHarness harness;
  StartRun start = Start("run");
  start.credit = 3;
  harness.Open(start);
  for (const char* piece : {"ab", "cd", "ef", "gh"}) {
    harness.Step(BackendData{start.attempt, piece, 1});
  }
  CHECK(harness.Answer() == "abcd");
  CHECK_EQUAL(1, harness.Count<PauseBackend>());
  harness.Receive(link::AddCredit{start.attempt, 2});
  CHECK(harness.Answer() == "abcdef");
  CHECK_EQUAL(3, harness.Sent<link::RunData>().back().tokens);
  CHECK_EQUAL(1, harness.Count<ResumeBackend>());
  harness.Step(BackendEnd{start.attempt, 1, 4});
  CHECK(harness.Sent<link::RunEnd>().empty());
  harness.Receive(link::AddCredit{start.attempt, 100});
  CHECK(harness.Answer() == "abcdefgh");
  CHECK_EQUAL(1U, harness.Sent<link::RunEnd>().size());
  CHECK(harness.Sent<link::RunEnd>()[0].digest == Digest::Of("abcdefgh"));
}

TEST(AgentCore, EveryAttachedRouterGetsTheCompleteAnswer) {
  AgentHarness harness;
  const StartRun start = Start("run");
  harness.Open(start);
  harness.Step(BackendData{start.attempt, "abcd", 1});
  harness.Receive(link::AttachRun{start.key, start.attempt, 2, 1000},
                  kOtherRouter);
  harness.Step(BackendData{start.attempt, "ef", 1});
  harness.Step(BackendEnd{start.attempt, 1, 2});
  CHECK(harness.Answer(kRouter) == "abcdef");
  CHECK(harness.Answer(kOtherRouter) == "cdef");
  CHECK_EQUAL(1U, harness.Sent<link::RunHead>(kOtherRouter).size());
  CHECK_EQUAL(1U, harness.Sent<link::RunEnd>(kOtherRouter).size());
  CHECK_EQUAL(1U, harness.Sent<link::RunEnd>(kRouter).size());
  harness.Receive(link::AttachRun{start.key, start.attempt, 0, 1000},
                  kOtherRouter);
  CHECK(harness.Answer(kOtherRouter) == "cdefabcdef");
  harness.Receive(link::AttachRun{Digest(9, 9), start.attempt, 0, 1000});
  CHECK(harness.Answer(kRouter) == "abcdef");
  CHECK(harness.Sent<link::RunState>().back().phase == RunPhase::kUnknown);
}

TEST(AgentCore, ResumesAfterThePrefixOfAnEarlierAttempt) {
  AgentHarness harness;
  StartRun start = Start("run");
  start.answer_prefix = "ab";
  start.resume_tokens = 2;
  harness.Receive(start);
  harness.Step(BackendHead{start.attempt, 200, "text/event-stream"});
  harness.Step(BackendData{start.attempt, "cd", 2});
  harness.Step(BackendEnd{start.attempt, 1, 4});
  CHECK(harness.Answer() == "cd");
  CHECK_EQUAL(2, harness.Sent<link::RunData>()[0].offset);
  CHECK_EQUAL(4, harness.Sent<link::RunData>()[0].tokens);
  CHECK(harness.Sent<link::RunEnd>()[0].digest == Digest::Of("abcd"));
}

TEST(AgentCore, AnswerThatIsNoContinuationEndsAStreamAsComplete) {
  struct Case {
    const char* name;
    int status;
    const char* content_type;
    bool has_final_event;
    bool is_complete;
  };
  const std::vector<Case> cases = {
      {"continuation", 200, "text/event-stream", true, true},
      {"continuation, with parameters", 200, "Text/Event-Stream; charset=utf-8",
       true, true},
      {"ends early", 200, "text/event-stream", false, false},
      {"client error", 404, "application/json", false, false},
      {"too many requests", 429, "text/event-stream", true, false},
      {"server error", 503, "application/json", false, false},
      {"no content", 204, "", false, false},
      {"part of the content", 206, "text/event-stream", true, false},
      {"another type", 200, "application/json", true, false},
      {"no type", 200, "", true, false},
  };
  for (const Case& c : cases) {
    AgentHarness harness;
    StartRun start = Start("run");
    start.answer_prefix = "ab";
    start.resume_tokens = 2;
    harness.Receive(start);
    harness.Step(BackendHead{start.attempt, c.status, c.content_type});
    if (c.is_complete) {
      harness.Step(BackendData{start.attempt, "cd", 2});
    }
    harness.Step(BackendEnd{start.attempt, 1, 4, c.has_final_event});
    const bool is_complete = !harness.Sent<link::RunEnd>().empty();
    CHECK_EQUAL_TEXT(c.is_complete, is_complete, c.name);
    CHECK_EQUAL_TEXT(c.is_complete, harness.Sent<link::RunFailed>().empty(),
                     c.name);
    if (!c.is_complete) {
      CHECK_EQUAL_TEXT(0, harness.Sent<link::RunFailed>()[0].billed, c.name);
    }
  }
}

TEST(AgentCore, RunContinuesForTheGracePeriodAfterItsLinkIsLost) {
  struct Case {
    bool repeatable;
    RunPhase phase;
    int cancels;
  };
  const Case cases[] = {{true, RunPhase::kFailed, 1},
                        {false, RunPhase::kRunning, 0}};
  for (const Case& c : cases) {
    AgentHarness harness;
    StartRun start = Start("run");
    start.repeatable = c.repeatable;
    harness.Open(start);
    harness.Step(LinkDown{kRouter});
    harness.now = harness.now + Seconds(29);
    harness.Step(Tick());
    CHECK_EQUAL(0, harness.Count<CancelBackend>());
    harness.now = harness.now + Seconds(1);
    harness.Step(Tick());
    CHECK_EQUAL(c.cancels, harness.Count<CancelBackend>());
    CHECK(harness.core.phase(start.attempt) == c.phase);
  }
}

TEST(AgentCore, HigherPriorityGoesFirstUntilTheLowerHasAged) {
  struct Case {
    Millis wait;
    const char* next;
  };
  const Case cases[] = {{Millis(0), "high"}, {Seconds(11), "low"}};
  for (const Case& c : cases) {
    AgentHarness harness;
    harness.Receive(Start("a"));
    harness.Receive(Start("b"));
    harness.Receive(Start("low"));
    harness.now = harness.now + c.wait;
    StartRun high = Start("high");
    high.priority = 2;
    harness.Receive(high);
    harness.commands.clear();
    harness.Step(BackendFailed{AttemptId("a"), true, ErrorKind::kBackendFailed,
                               "reset"});
    CHECK(harness.core.phase(AttemptId(c.next)) == RunPhase::kRunning);
    bool called = false;
    for (const AgentCommand& command : harness.commands) {
      const auto* call = std::get_if<CallBackend>(&command);
      called = called || (call != nullptr && call->attempt.value() == c.next);
    }
    CHECK(called);
  }
}

TEST(AgentCore, DrainsOnceRunsEndedAndAnswersAreDelivered) {
  AgentHarness harness;
  StartRun start = Start("run");
  start.credit = 2;
  harness.Open(start);
  harness.Step(DrainRequested());
  harness.Step(BackendData{start.attempt, "ab", 1});
  harness.Step(BackendData{start.attempt, "c", 1});
  harness.Step(BackendEnd{start.attempt, 1, 1});
  CHECK_EQUAL(0, harness.Count<Drained>());
  harness.Receive(link::AddCredit{start.attempt, 1});
  harness.Step(Tick());
  harness.Step(Tick());
  CHECK_EQUAL(1, harness.Count<Drained>());
}

TEST(AgentCore, RefusesOrdersWithOldFencingNumbers) {
  AgentHarness harness;
  harness.Receive(link::EngineOrder{"load", "m1", 7});
  harness.Receive(link::EngineOrder{"load", "m2", 6}, kOtherRouter);
  CHECK_EQUAL(1, harness.Count<SendOrder>());
  CHECK_EQUAL(1U, harness.Sent<link::EngineOrderDone>(kOtherRouter).size());
  CHECK_FALSE(harness.Sent<link::EngineOrderDone>(kOtherRouter)[0].done);
  harness.Receive(link::EngineOrder{"load", "m3", 8});
  CHECK_EQUAL(1, harness.Count<SendOrder>());
  harness.Step(OrderFinished{kRouter, {"load", 7, true, ""}});
  CHECK_EQUAL(2, harness.Count<SendOrder>());
}

TEST(AgentCore, ReportsUnknownOutcomeOfARunWhoseAnswerWasDropped) {
  AgentHarness harness;
  AgentOptions options = Options(ServiceKind::kModelPool);
  options.answer_limit_bytes = 2;
  AgentCore core(options);
  core.Step(harness.now, LinkUp{kRouter, ProcessId("r"), Incarnation("r/a")});
  const StartRun start = Start("run");
  core.Step(harness.now, LinkMessage{kRouter, start});
  core.Step(harness.now, BackendHead{start.attempt, 200, "text/plain"});
  core.Step(harness.now, BackendData{start.attempt, "abc", 1});
  core.Step(harness.now, BackendEnd{start.attempt, 1, 1});
  harness.commands = core.Step(
      harness.now,
      LinkMessage{kRouter, link::AttachRun{start.key, start.attempt, 0, 9}});
  CHECK_EQUAL(1U, harness.Sent<link::RunFailed>().size());
  CHECK(harness.Sent<link::RunFailed>()[0].kind == ErrorKind::kOutcomeUnknown);
  CHECK(core.phase(start.attempt) == RunPhase::kComplete);
}

namespace {

// Feeds random events of routers, backend server and time to an AgentCore and
// checks its invariants.
class Schedule {
 public:
  explicit Schedule(uint64_t seed)
      : random_(seed),
        core_(Options(random_() % 2 == 0 ? ServiceKind::kModelPool
                                         : ServiceKind::kPlain)) {}

  void Run(int steps) {
    for (int i = 0; i < steps; ++i) {
      now_ = now_ + Millis(static_cast<int64_t>(random_() % 4000));
      for (const AgentCommand& command : core_.Step(now_, AnyEvent())) {
        std::visit([this](const auto& typed) { Check(typed); }, command);
      }
      CheckAccounts();
    }
  }

 private:
  AttemptId AnyAttempt() { return AttemptId(std::to_string(random_() % 12)); }
  GrantId AnyGrant() { return GrantId(std::to_string(random_() % 3)); }
  ConnectionId AnyLink() { return 1 + static_cast<int64_t>(random_() % 3); }

  link::Message AnyMessage() {
    StartRun start = Start(AnyAttempt().value());
    switch (random_() % 9) {
      case 0:
        return link::AttachRun{start.key, start.attempt,
                               static_cast<int64_t>(random_() % 4), 50};
      case 1:
        return link::AddCredit{start.attempt, 10};
      case 2:
        return link::CancelRun{start.attempt};
      case 3:
        return link::TombstoneRun{start.attempt};
      case 4:
        if (random_() % 8 == 0) {
          return link::SealGrant{AnyGrant()};
        }
        return link::AddCredit{start.attempt, 1};
      default:
        start.grant =
            GrantId(std::to_string(std::hash<AttemptId>()(start.attempt) % 3));
        start.repeatable = random_() % 2 == 0;
        start.claimed =
            random_() % 3 == 0 ? Incarnation("other") : kIncarnation;
        start.credit = static_cast<int64_t>(random_() % 6);
        return start;
    }
  }

  AgentEvent AnyEvent() {
    switch (random_() % 16) {
      case 0:
        return LinkUp{AnyLink(), ProcessId("r"), Incarnation("r/a")};
      case 1:
        return LinkDown{AnyLink()};
      case 2:
        return Tick();
      case 3:
        return BackendHead{AnyAttempt(), 200 + 100 * int64_t(random_() % 4),
                           "text/plain"};
      case 4:
      case 5:
        return BackendData{AnyAttempt(), "ab", 1};
      case 6: {
        const AttemptId attempt = AnyAttempt();
        open_.erase(attempt);
        return BackendEnd{attempt, 40, static_cast<int64_t>(random_() % 200)};
      }
      case 7: {
        const AttemptId attempt = AnyAttempt();
        open_.erase(attempt);
        return BackendFailed{attempt, random_() % 2 == 0,
                             ErrorKind::kBackendFailed, ""};
      }
      default:
        return LinkMessage{AnyLink(), AnyMessage()};
    }
  }

  void Check(const CallBackend& command) {
    RC_ASSERT(called_.insert(command.attempt).second);
    RC_ASSERT(refused_.count(command.attempt) == 0);
    RC_ASSERT(sealed_.count(command.start.grant) == 0);
    RC_ASSERT(command.start.repeatable ||
              command.start.claimed == kIncarnation);
    max_billed_[command.start.grant] += command.start.reserved;
    open_.insert(command.attempt);
    RC_ASSERT(open_.size() <= 2);
    RC_ASSERT(static_cast<int64_t>(open_.size()) <= core_.running());
  }
  void Check(const SendMessage& command) {
    if (const auto* refused = std::get_if<link::RunRefused>(&command.message)) {
      refused_.insert(refused->attempt);
    }
    if (const auto* end = std::get_if<link::RunEnd>(&command.message)) {
      RC_ASSERT(end->billed <= 100);
      const auto [at, first] = ends_.emplace(end->attempt, *end);
      RC_ASSERT(at->second == *end);
    }
    if (const auto* usage = std::get_if<link::GrantUsage>(&command.message)) {
      sealed_.insert(usage->grant);
      if (usage->running == 0) {
        final_usage_.emplace(usage->grant, usage->billed);
      }
    }
    if (const auto* failed = std::get_if<link::RunFailed>(&command.message)) {
      RC_ASSERT(refused_.count(failed->attempt) == 0);
    }
  }
  template <typename Other>
  void Check(const Other& /*command*/) {}

  void CheckAccounts() {
    for (int grant = 0; grant < 3; ++grant) {
      const auto usage = core_.usage(GrantId(std::to_string(grant)));
      RC_ASSERT(usage.running >= 0);
      RC_ASSERT(usage.running % 100 == 0);
      RC_ASSERT(usage.billed >= billed_[grant]);
      RC_ASSERT(usage.billed <= max_billed_[usage.grant]);
      const auto final = final_usage_.find(usage.grant);
      RC_ASSERT(final == final_usage_.end() || final->second == usage.billed);
      billed_[grant] = usage.billed;
    }
  }

  std::mt19937_64 random_;
  AgentCore core_;
  Millis now_;
  std::set<AttemptId> called_;
  std::set<AttemptId> refused_;
  std::set<AttemptId> open_;
  // Grants reported as sealed, and their usage once it was reported with
  // nothing running.
  std::set<GrantId> sealed_;
  std::map<GrantId, Tokens> final_usage_;
  std::map<AttemptId, link::RunEnd> ends_;
  std::map<int, Tokens> billed_;
  // Reservations of all runs sent to the backend server.
  std::map<GrantId, Tokens> max_billed_;
};

}  // namespace

TEST(AgentCore, InvariantsHoldForRandomSchedules) {
  CHECK(rc::check([](uint64_t seed) { Schedule(seed).Run(100); }));
}

}  // namespace godwit::agent
