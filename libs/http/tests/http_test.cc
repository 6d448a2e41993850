#include <atomic>
#include <deque>
#include <future>
#include <memory>
#include <string>
#include <thread>
#include <utility>
#include <vector>

#include "core_thread.h"
#include "http/client_call.h"
#include "http/client_pool.h"
#include "http/exchange.h"
#include "http/request.h"
#include "http/server.h"
#include "http/target.h"
#include "raw_connection.h"
#include "raw_server.h"

#include <CppUTest/TestHarness.h>

using godwit::base::ErrorKind;
using godwit::base::Millis;
using godwit::base::Seconds;
using godwit::http::ClientCall;
using godwit::http::ClientPool;
using godwit::http::CoreThread;
using godwit::http::Exchange;
using godwit::http::PercentEncode;
using godwit::http::RawConnection;
using godwit::http::RawServer;
using godwit::http::Response;
using godwit::http::Server;
using godwit::http::Target;

namespace {

const std::string kOk = "GET /ok HTTP/1.1\r\nHost: a\r\n\r\n";
constexpr size_t kBodyLimit = 1000;
constexpr size_t kConnectionLimit = 8;
constexpr int kUnresponsiveConnections = 3;
constexpr size_t kStreamBytes = 32 * 1024 * 1024;

// A server with one path for each tested behaviour.
class TestServer {
 public:
  explicit TestServer(Millis write_timeout = Seconds(60)) {
    Server::Builder builder;
    builder.MaxBodyBytes(kBodyLimit)
        .MaxConnections(kConnectionLimit)
        .ReadTimeout(Millis(200))
        .WriteTimeout(write_timeout)
        .Handle([this](std::shared_ptr<Exchange> exchange) {
          Handle(std::move(exchange));
        });
    server_ = builder.Build(core_.runtime());
  }
  ~TestServer() {
    core_.Call<bool>([this] {
      held_.clear();
      server_ = nullptr;
      return true;
    });
  }

  uint16_t port() const { return server_->port(); }
  CoreThread& core() { return core_; }
  Server& server() { return *server_; }
  std::future<void> caller_disconnected() {
    return caller_disconnected_.get_future();
  }
  std::future<void> held() { return request_held_.get_future(); }
  int handled() const { return handled_; }
  size_t drained() const { return drained_; }

  // Answers the requests held by /hold and /wait.
  void Release() {
    core_.Call<bool>([this] {
      for (const auto& exchange : held_) {
        exchange->Respond({200, {}, "released"});
      }
      held_.clear();
      return true;
    });
  }

 private:
  void Handle(std::shared_ptr<Exchange> exchange) {
    ++handled_;
    const std::string& target = exchange->request().target;
    if (target == "/hold") {
      exchange->OnCallerDisconnected(
          [this] { caller_disconnected_.set_value(); });
      held_.push_back(std::move(exchange));
      request_held_.set_value();
    } else if (target == "/wait") {
      held_.push_back(std::move(exchange));
    } else if (target == "/stream") {
      Stream(*exchange);
      exchange->EndStream();
    } else if (target == "/truncated") {
      exchange->BeginStream(200, {});
      exchange->Write("half of it");
    } else if (target == "/ok") {
      exchange->Respond({200, {{"x-bad", "a\r\nx-forged: 1"}}, "ok"});
    } else if (target == "/echo") {
      exchange->Respond({200, {}, exchange->request().body});
    }
  }

  void Stream(Exchange& exchange) {
    exchange.OnCallerDisconnected([this] { caller_disconnected_.set_value(); });
    exchange.OnDrained([this](size_t bytes) { drained_ += bytes; });
    exchange.BeginStream(200, {});
    exchange.Write(std::string(kStreamBytes / 2, 'a'));
    exchange.Write(std::string(kStreamBytes / 2, 'b'));
  }

  CoreThread core_;
  std::unique_ptr<Server> server_;
  std::vector<std::shared_ptr<Exchange>> held_;
  std::promise<void> caller_disconnected_;
  std::promise<void> request_held_;
  std::atomic<int> handled_{0};
  std::atomic<size_t> drained_{0};
};

struct CallResult {
  std::optional<Response> response;
  bool sent = false;
  ErrorKind kind = ErrorKind::kNone;
};

CallResult Get(CoreThread& core, ClientPool& pool, const std::string& target) {
  return core.Call<CallResult>([&] {
    ClientCall call(pool, {"GET", target, {}, ""});
    call.IdleTimeout(Seconds(1));
    CallResult result;
    result.response = call.Perform();
    result.sent = call.sent();
    result.kind = call.last_error().kind();
    return result;
  });
}

}  // namespace

TEST_GROUP(Target){};

TEST(Target, ParsesPathAndQuery) {
  const auto target = Target::Parse("/a%20b/c?x=1&y=%3d&z");
  CHECK(target == (Target{"/a b/c", {{"x", "1"}, {"y", "="}, {"z", ""}}}));
  CHECK(!Target::Parse("/a%2"));
  CHECK(!Target::Parse("/a?b=%zz"));
  CHECK(Target::Parse(PercentEncode("a/?&= \x01\xff"))->path ==
        "a/?&= \x01\xff");
}

TEST_GROUP(Server){};

struct InvalidInput {
  const char* name;
  std::string bytes;
  const char* status;
  const char* kind;
};

TEST(Server, AnswersInvalidInputWithTypedErrorsAndKeepsServing) {
  const std::vector<InvalidInput> cases = {
      {"not HTTP", "hello there\r\n\r\n", "400", "malformed"},
      {"binary", std::string("\x16\x03\x01\x00\xff\x00\x01\r\n\r\n", 11), "400",
       "malformed"},
      {"HTTP/1.0", "GET / HTTP/1.0\r\n\r\n", "505", "malformed"},
      {"header flood",
       "GET / HTTP/1.1\r\nx: " + std::string(20000, 'a') + "\r\n\r\n", "431",
       "too_large"},
      {"announced body",
       "POST /echo HTTP/1.1\r\nContent-Length: 99999999\r\n\r\n", "413",
       "too_large"},
      {"chunked body",
       "POST /echo HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n7d0\r\n" +
           std::string(2000, 'a') + "\r\n0\r\n\r\n",
       "413", "too_large"},
      {"two lengths",
       "POST /echo HTTP/1.1\r\nContent-Length: 1\r\nContent-Length: "
       "2\r\n\r\nab",
       "400", "malformed"},
      {"length and chunks",
       "POST /echo HTTP/1.1\r\nContent-Length: 3\r\nTransfer-Encoding: "
       "chunked\r\n\r\n0\r\n\r\n",
       "400", "malformed"},
      {"negative length", "POST /echo HTTP/1.1\r\nContent-Length: -1\r\n\r\n",
       "400", "malformed"},
      {"chunk size that is no number",
       "POST /echo HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\n", "400",
       "malformed"},
      {"space in a field name", "GET /ok HTTP/1.1\r\nHo st: a\r\n\r\n", "400",
       "malformed"},
      {"half a header", "GET /ok HTTP/1.1\r\nHos", "408", "deadline_exceeded"},
      {"half a body", "POST /echo HTTP/1.1\r\nContent-Length: 10\r\n\r\nabc",
       "408", "deadline_exceeded"},
  };
  TestServer server;
  for (const InvalidInput& input : cases) {
    RawConnection connection(server.port());
    connection.Send(input.bytes);
    const std::string answer = connection.ReadToEnd();
    STRCMP_CONTAINS_TEXT((std::string("HTTP/1.1 ") + input.status).c_str(),
                         answer.c_str(), input.name);
    STRCMP_CONTAINS_TEXT(
        (std::string("\"kind\":\"") + input.kind + "\"").c_str(),
        answer.c_str(), input.name);
    STRCMP_CONTAINS_TEXT("\"not_run\":true", answer.c_str(), input.name);
  }
  CHECK_EQUAL(0, server.handled());
  RawConnection connection(server.port());
  connection.Send(kOk);
  STRCMP_CONTAINS("200 OK", connection.ReadUntil("ok").c_str());
}

TEST(Server, RefusesConnectionsWhileAllOthersAreServed) {
  TestServer server;
  std::vector<std::unique_ptr<RawConnection>> open;
  for (size_t i = 0; i < kConnectionLimit; ++i) {
    open.push_back(std::make_unique<RawConnection>(server.port()));
    open.back()->Send("GET /wait HTTP/1.1\r\nHost: a\r\n\r\n");
  }
  while (server.handled() < static_cast<int>(kConnectionLimit)) {
    std::this_thread::yield();
  }
  const std::string refusal = RawConnection(server.port()).ReadToEnd();
  STRCMP_CONTAINS("HTTP/1.1 503", refusal.c_str());
  STRCMP_CONTAINS("\"not_run\":true", refusal.c_str());
  server.Release();
  for (const auto& connection : open) {
    STRCMP_CONTAINS("200 OK", connection->ReadUntil("released").c_str());
  }
}

TEST(Server, IdleConnectionsGiveWayToNewOnes) {
  TestServer server;
  std::vector<std::unique_ptr<RawConnection>> open;
  for (size_t i = 0; i < 3 * kConnectionLimit; ++i) {
    open.push_back(std::make_unique<RawConnection>(server.port()));
    open.back()->Send(kOk);
    STRCMP_CONTAINS("200 OK", open.back()->ReadUntil("\r\n\r\nok").c_str());
  }
}

TEST(Server, KeepsConnectionAliveAndAnswersPipelinedRequestsInOrder) {
  TestServer server;
  RawConnection connection(server.port());
  connection.Send(kOk +
                  "POST /echo HTTP/1.1\r\nContent-Length: 6\r\n\r\nsecond");
  const std::string answers = connection.ReadUntil("second");
  CHECK(answers.find("\r\n\r\nok") < answers.find("\r\n\r\nsecond"));
  connection.Send(
      "POST /echo HTTP/1.1\r\nExpect: 100-continue\r\n"
      "Connection: close\r\nContent-Length: 5\r\n\r\n");
  connection.ReadUntil("100 Continue\r\n\r\n");
  connection.Send("third");
  STRCMP_CONTAINS("third", connection.ReadToEnd().c_str());
}

TEST(Server, HeaderValuesCanNotInjectFields) {
  TestServer server;
  RawConnection connection(server.port());
  connection.Send(kOk);
  const std::string answer = connection.ReadUntil("\r\n\r\nok");
  CHECK(answer.find("\r\nx-forged") == std::string::npos);
}

struct HeadCase {
  const char* path;
  const char* field;
};

TEST(Server, HeadHasNoBody) {
  const HeadCase cases[] = {{"/ok", "Content-Length: 2"},
                            {"/stream", "Transfer-Encoding: chunked"}};
  TestServer server;
  for (const HeadCase& head : cases) {
    RawConnection connection(server.port());
    connection.Send("HEAD " + std::string(head.path) +
                    " HTTP/1.1\r\nConnection: close\r\n\r\n");
    const std::string answer = connection.ReadToEnd();
    STRCMP_CONTAINS(head.field, answer.c_str());
    CHECK(answer.find("\r\n\r\n") + 4 == answer.size());
  }
  while (server.drained() < kStreamBytes) {
    std::this_thread::yield();
  }
}

TEST(Server, DetectsCallerDisconnect) {
  TestServer server;
  auto held = server.held();
  auto caller_disconnected = server.caller_disconnected();
  RawConnection connection(server.port());
  connection.Send("GET /hold HTTP/1.1\r\n\r\n");
  held.wait();
  connection.Close();
  caller_disconnected.wait();
}

TEST(Server, ClosesConnectionThatReadsNoBytes) {
  TestServer server(Millis(200));
  auto caller_disconnected = server.caller_disconnected();
  RawConnection connection(server.port());
  connection.Send("GET /stream HTTP/1.1\r\n\r\n");
  caller_disconnected.wait();
  CHECK(server.drained() < kStreamBytes);
}

TEST(Server, UnfinishedStreamHasNoLastChunk) {
  TestServer server;
  RawConnection connection(server.port());
  connection.Send("GET /truncated HTTP/1.1\r\n\r\n");
  CHECK(connection.ReadToEnd().find("\r\n0\r\n") == std::string::npos);
}

TEST(Server, StopAcceptingLetsOpenExchangesFinish) {
  TestServer server;
  auto held = server.held();
  RawConnection busy(server.port());
  busy.Send("GET /hold HTTP/1.1\r\n\r\n");
  RawConnection idle(server.port());
  idle.Send(kOk);
  idle.ReadUntil("ok");
  held.wait();
  server.server().StopAccepting();
  CHECK(idle.ReadToEnd().empty());
  RawConnection late(server.port());
  late.Send(kOk);
  CHECK(late.ReadToEnd().empty());
  server.Release();
  STRCMP_CONTAINS("released", busy.ReadToEnd().c_str());
}

TEST_GROUP(Client){};

TEST(Client, StreamsWithBackPressureAndReusesConnections) {
  TestServer server;
  ClientPool pool(server.core().runtime(), "127.0.0.1", server.port());
  size_t received = 0;
  int status = 0;
  const bool complete = server.core().Call<bool>([&] {
    ClientCall call(pool, {"GET", "/stream", {}, ""});
    call.OnHead([&](const Response& head) { status = head.status; })
        .OnBody([&](std::string_view piece) {
          received += piece.size();
          godwit::runtime::Runtime::SleepFor(Millis(0));
        });
    return call.Perform().has_value();
  });
  CHECK(complete);
  CHECK_EQUAL(200, status);
  CHECK_EQUAL(kStreamBytes, received);
  CHECK(Get(server.core(), pool, "/ok").response->body == "ok");
}

TEST(Client, SentReportsWhetherTheRequestMayHaveArrived) {
  TestServer server;
  ClientPool pool(server.core().runtime(), "127.0.0.1", server.port());
  const CallResult truncated = Get(server.core(), pool, "/truncated");
  CHECK(!truncated.response && truncated.sent &&
        truncated.kind == ErrorKind::kUnavailable);
  const CallResult dropped = Get(server.core(), pool, "/dropped");
  CHECK(!dropped.response && dropped.sent);
  const CallResult unresponsive = Get(server.core(), pool, "/hold");
  CHECK(!unresponsive.response && unresponsive.sent &&
        unresponsive.kind == ErrorKind::kDeadlineExceeded);
  uint16_t free_port = 0;
  {
    TestServer closed;
    free_port = closed.port();
  }
  ClientPool unreachable(server.core().runtime(), "127.0.0.1", free_port);
  const CallResult refused = Get(server.core(), unreachable, "/ok");
  CHECK(!refused.response && !refused.sent &&
        refused.kind == ErrorKind::kUnavailable);
}

TEST(Client, DoesNotUsePooledConnectionThatTheServerClosed) {
  CoreThread core;
  auto first = std::make_unique<TestServer>();
  const uint16_t port = first->port();
  ClientPool pool(core.runtime(), "127.0.0.1", port);
  CHECK(Get(core, pool, "/ok").response.has_value());
  first = nullptr;
  const CallResult after_close = Get(core, pool, "/ok");
  CHECK(!after_close.response && !after_close.sent);
}

TEST(Client, SkipsInterimResponses) {
  CoreThread core;
  RawServer server([](int connection, const std::string& /*request*/) {
    return std::string(connection == 0 ? "HTTP/1.1 100 Continue\r\n\r\n" : "") +
           "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok";
  });
  ClientPool pool(core.runtime(), "127.0.0.1", server.port());
  CHECK(Get(core, pool, "/").response->body == "ok");
}

// When one pooled connection times out, the other idle ones are closed too, so
// that several unresponsive connections cost one timeout instead of one each.
TEST(Client, DropsPooledConnectionsOnceOneIsUnresponsive) {
  CoreThread core;
  std::atomic<int> first_calls{0};
  RawServer server([&](int connection, const std::string& request) {
    const bool first = request.find("GET /first") == 0;
    if (first) {
      ++first_calls;
      while (first_calls < kUnresponsiveConnections) {
        std::this_thread::yield();
      }
    }
    const bool unresponsive = !first && connection < kUnresponsiveConnections;
    return std::string(
        unresponsive ? "" : "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok");
  });
  ClientPool pool(core.runtime(), "127.0.0.1", server.port());
  std::vector<std::thread> callers;
  callers.reserve(kUnresponsiveConnections);
  for (int i = 0; i < kUnresponsiveConnections; ++i) {
    callers.emplace_back([&] { Get(core, pool, "/first"); });
  }
  for (std::thread& caller : callers) {
    caller.join();
  }
  const CallResult unresponsive = Get(core, pool, "/second");
  CHECK(!unresponsive.response && unresponsive.sent &&
        unresponsive.kind == ErrorKind::kDeadlineExceeded);
  CHECK(Get(core, pool, "/second").response.has_value());
}

TEST(Client, CancelEndsPerform) {
  TestServer server;
  auto held = server.held();
  auto caller_disconnected = server.caller_disconnected();
  ClientPool pool(server.core().runtime(), "127.0.0.1", server.port());
  const CallResult result = server.core().Call<CallResult>([&] {
    ClientCall call(pool, {"GET", "/hold", {}, ""});
    std::thread canceller([&] {
      held.wait();
      server.core().runtime().Post([&] { call.Cancel(); });
    });
    CallResult outcome;
    outcome.response = call.Perform();
    outcome.kind = call.last_error().kind();
    canceller.join();
    return outcome;
  });
  CHECK(!result.response && result.kind == ErrorKind::kCancelled);
  caller_disconnected.wait();
}
