#include <csignal>
#include <exception>
#include <fstream>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <utility>
#include <variant>
#include <vector>

#include "base/clocks.h"
#include "http/client_call.h"
#include "http/client_pool.h"
#include "link/transport.h"
#include "raw_server.h"
#include "runtime/runtime.h"
#include "stream/answer_assembler.h"
#include "support/child_process.h"
#include "support/test_directory.h"

#include <CppUTest/TestHarness.h>

using godwit::base::AttemptId;
using godwit::base::Digest;
using godwit::base::ErrorKind;
using godwit::base::GrantId;
using godwit::base::Incarnation;
using godwit::base::Millis;
using godwit::base::ProcessId;
using godwit::base::Seconds;
using godwit::http::ClientCall;
using godwit::http::ClientPool;
using godwit::link::ConnectionId;
using godwit::link::Heartbeat;
using godwit::link::Hello;
using godwit::link::Message;
using godwit::link::RunAccepted;
using godwit::link::RunData;
using godwit::link::RunEnd;
using godwit::link::RunHead;
using godwit::link::RunRefused;
using godwit::link::StartRun;
using godwit::link::Transport;
using godwit::link::TransportHandler;
using godwit::runtime::Runtime;
using godwit::stream::AnswerAssembler;
using godwit::support::ChildProcess;
using godwit::support::TestDirectory;

namespace {

constexpr char kIp[] = "127.0.0.1";
constexpr char kStreamed[] =
    R"({"stream":true,"min_tokens":40,"messages":[{"role":"user","content":"how long does wool dry"}]})";
constexpr char kUnstreamed[] =
    R"({"min_tokens":40,"messages":[{"role":"user","content":"how long does wool dry"}]})";
constexpr int64_t kPromptTokens = 5;
constexpr int64_t kReserved = 10'000;

// Blocks the calling fiber until the condition holds; false after 20 s.
bool Await(const std::function<bool()>& condition) {
  const Millis deadline = godwit::base::SteadyNow() + Seconds(20);
  while (!condition()) {
    if (godwit::base::SteadyNow() > deadline) {
      return false;
    }
    Runtime::SleepFor(Millis(2));
  }
  return true;
}

// Runs `body` on the core thread. An exception of a failed check is caught in
// the fiber and rethrown outside it, since it must not unwind across the fiber.
void RunOnCore(const std::function<void(Runtime&)>& body) {
  std::exception_ptr failure;
  Runtime runtime;
  runtime.Run([&] {
    try {
      body(runtime);
    } catch (...) {
      failure = std::current_exception();
    }
    runtime.Stop();
  });
  if (failure) {
    std::rethrow_exception(failure);
  }
}

// Simulated router: its end of a link and the answer of one attempt.
class Router {
 public:
  Router(Runtime& runtime, uint16_t agent_port, AttemptId attempt)
      : agent_port_(agent_port),
        assembler_(KeyOf(attempt), attempt),
        attempt_(std::move(attempt)) {
    TransportHandler handler;
    handler.on_up = [this](ConnectionId, const Hello&) { up_ = true; };
    handler.on_down = [this](ConnectionId) { up_ = false; };
    handler.on_message = [this](ConnectionId, const Message& message) {
      Receive(message);
    };
    handler.hello = [] {
      Hello hello;
      hello.protocol = godwit::link::kProtocolVersion;
      hello.fleet = "lantern";
      hello.process = ProcessId("router-1");
      hello.incarnation = Incarnation("router-1/a");
      return hello;
    };
    handler.heartbeat = [] { return Heartbeat(); };
    transport_ = Transport::Builder().Handle(std::move(handler)).Build(runtime);
  }

  bool Link() {
    link_ = transport_->Dial(kIp, agent_port_);
    return Await([this] { return up_; });
  }
  void Unlink() { transport_->Close(link_); }
  void Send(const Message& message) { transport_->Send(link_, message); }

  StartRun Start(const std::string& body) const {
    StartRun start;
    start.attempt = attempt_;
    start.key = KeyOf(attempt_);
    start.grant = GrantId("grant-1");
    start.reserved = kReserved;
    start.deadline_in = Seconds(60);
    start.method = "POST";
    start.path = "/v1/chat/completions";
    start.content_type = "application/json";
    start.body = body;
    start.output_cap = 100;
    start.credit = 1 << 30;
    return start;
  }
  void Attach() {
    Send(godwit::link::AttachRun{KeyOf(attempt_), attempt_, assembler_.offset(),
                                 1 << 30});
  }

  static Digest KeyOf(const AttemptId& attempt) {
    return Digest::Of(attempt.value());
  }

  bool up() const { return up_; }
  bool complete() const { return assembler_.complete(); }
  bool accepted() const { return accepted_; }
  bool leaving() const { return leaving_; }
  const std::string& answer() const { return answer_; }
  const RunEnd& end() const { return end_; }
  const std::vector<RunRefused>& refusals() const { return refusals_; }

 private:
  void Receive(const Message& message) {
    if (const auto* head = std::get_if<RunHead>(&message)) {
      assembler_.OnHead(*head);
    } else if (const auto* data = std::get_if<RunData>(&message)) {
      answer_ += assembler_.OnData(*data).bytes;
    } else if (const auto* end = std::get_if<RunEnd>(&message)) {
      end_ = *end;
      assembler_.OnEnd(*end);
    } else if (std::holds_alternative<RunAccepted>(message)) {
      accepted_ = true;
    } else if (const auto* refused = std::get_if<RunRefused>(&message)) {
      refusals_.push_back(*refused);
    } else if (const auto* heartbeat_message =
                   std::get_if<Heartbeat>(&message)) {
      leaving_ = heartbeat_message->leaving;
    }
  }

  uint16_t agent_port_;
  AnswerAssembler assembler_;
  AttemptId attempt_;
  std::unique_ptr<Transport> transport_;
  ConnectionId link_ = 0;
  bool up_ = false;
  bool accepted_ = false;
  bool leaving_ = false;
  std::string answer_;
  RunEnd end_;
  std::vector<RunRefused> refusals_;
};

// Platform, engine and agent as separate processes.
struct Fleet {
  // `backend`: the port that the agent calls; zero for the engine's.
  explicit Fleet(const std::string& drain_limit_ms = "20000",
                 uint16_t backend = 0)
      : settings(directory.path() + "/agent.yaml") {
    std::ofstream(settings)
        << "process: agent-1\nfleet: lantern\n"
        << "data_centre: keelung\nkind: model_pool\n"
        << "platform: 127.0.0.1:" << platform.port()
        << "\nbackend: 127.0.0.1:" << (backend == 0 ? engine.port() : backend)
        << "\ndrain_limit_ms: " << drain_limit_ms << "\n";
    agent = std::make_unique<ChildProcess>(
        "godwit-agent", std::vector<std::string>{"--settings", settings});
  }

  std::string Post(Runtime& runtime,
                   const std::string& target,
                   const std::string& body) const {
    ClientPool pool(runtime, kIp, engine.port());
    ClientCall call(pool, {"POST", target, {}, body});
    const auto response = call.Perform();
    return response ? response->body : "";
  }

  TestDirectory directory;
  std::string settings;
  ChildProcess platform{"standin-platform", {}};
  ChildProcess engine{"standin-engine", {}};
  std::unique_ptr<ChildProcess> agent;
};

}  // namespace

TEST_GROUP(AgentProcess){};

TEST(AgentProcess, RelaysCompleteAnswersAndBillsUsage) {
  const Fleet fleet;
  for (const char* body : {kStreamed, kUnstreamed}) {
    RunOnCore([&](Runtime& runtime) {
      Router router(runtime, fleet.agent->port(), AttemptId(body));
      CHECK(router.Link());
      const std::string expected =
          fleet.Post(runtime, "/v1/chat/completions",
                     std::string(R"({"max_tokens":100,)") + (body + 1));
      router.Send(router.Start(body));
      CHECK(Await([&] { return router.complete(); }));
      CHECK(!expected.empty());
      CHECK(router.answer() == expected);
      CHECK(router.end().billed >= 40 + kPromptTokens);
      CHECK(router.end().billed <= 100 + kPromptTokens);
    });
  }
}

// An engine that writes its answer once more when the next request comes on the
// same connection.
TEST(AgentProcess, CopyOfAnAnswerIsTakenForTheNextOne) {
  std::map<int, std::string> last;
  std::mutex mutex;
  godwit::http::RawServer engine(
      [&](int connection, const std::string& request) {
        const std::lock_guard<std::mutex> lock(mutex);
        const std::string name = "x-request-id: ";
        const size_t at = request.find(name) + name.size();
        const std::string id = request.substr(at, request.find('\r', at) - at);
        const std::string answer =
            "HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\nContent-Length: " +
            std::to_string(id.size()) + "\r\n\r\n" + id;
        return std::exchange(last[connection], answer) + answer;
      });
  const Fleet fleet("20000", engine.port());
  for (const char* attempt : {"run-1", "run-2", "run-3"}) {
    RunOnCore([&](Runtime& runtime) {
      Router router(runtime, fleet.agent->port(), AttemptId(attempt));
      CHECK(router.Link());
      router.Send(router.Start(kUnstreamed));
      CHECK(Await([&] { return router.complete(); }));
      STRCMP_EQUAL(attempt, router.answer().c_str());
    });
  }
}

TEST(AgentProcess, ResumesOverNewLinkWithoutSecondRun) {
  const Fleet fleet;
  RunOnCore([&](Runtime& runtime) {
    Router router(runtime, fleet.agent->port(), AttemptId("run"));
    CHECK(router.Link());
    router.Send(router.Start(kStreamed));
    CHECK(Await([&] { return router.answer().size() > 200; }));
    router.Unlink();
    CHECK(Await([&] { return !router.up(); }));
    CHECK(!router.complete());
    CHECK(router.Link());
    router.Attach();
    CHECK(Await([&] { return router.complete(); }));
    CHECK(fleet.Post(runtime, "/stats", "").find(R"("run":1)") !=
          std::string::npos);
  });
}

TEST(AgentProcess, DrainFinishesRunsAndRefusesNewOnes) {
  const Fleet fleet;
  RunOnCore([&](Runtime& runtime) {
    Router router(runtime, fleet.agent->port(), AttemptId("run"));
    CHECK(router.Link());
    router.Send(router.Start(kStreamed));
    CHECK(Await([&] { return !router.answer().empty(); }));
    fleet.agent->Signal(SIGTERM);
    CHECK(Await([&] { return router.leaving(); }));
    StartRun late = router.Start(kStreamed);
    late.attempt = AttemptId("late");
    router.Send(late);
    CHECK(Await([&] { return !router.refusals().empty(); }));
    CHECK(router.refusals()[0].kind == ErrorKind::kLeaving);
    CHECK(Await([&] { return router.complete() && !router.up(); }));
  });
  CHECK_EQUAL(0, fleet.agent->Wait());
}

TEST(AgentProcess, DrainTimeoutEndsHungRuns) {
  const Fleet fleet("300");
  RunOnCore([&](Runtime& runtime) {
    Router router(runtime, fleet.agent->port(), AttemptId("run"));
    CHECK(router.Link());
    fleet.Post(runtime, "/fault", R"({"hang":true})");
    router.Send(router.Start(kStreamed));
    CHECK(Await([&] { return router.accepted(); }));
    fleet.agent->Signal(SIGTERM);
    CHECK(Await([&] { return !router.up(); }));
  });
  CHECK_EQUAL(1, fleet.agent->Wait());
}

TEST(AgentProcess, UnreadableSettingsExitWithSettingsCode) {
  ChildProcess agent("godwit-agent", {"--settings", "/does/not/exist"});
  CHECK_EQUAL(2, agent.Wait());
}
