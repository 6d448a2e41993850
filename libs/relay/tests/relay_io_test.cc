#include <boost/asio/io_context.hpp>
#include <chrono>
#include <functional>
#include <memory>
#include <string>
#include <thread>
#include <vector>

#include "base/clocks.h"
#include "raw_connection.h"
#include "raw_server.h"
#include "relay/answer_handler.h"
#include "relay/answer_head.h"
#include "relay/caller_handler.h"
#include "relay/caller_server.h"
#include "relay/caller_session.h"
#include "relay/outgoing_request.h"
#include "relay/upstream_pool.h"

#include <CppUTest/TestHarness.h>

using godwit::base::Endpoint;
using godwit::base::Millis;
using godwit::http::RawConnection;
using godwit::http::RawServer;
using godwit::relay::AnswerHandler;
using godwit::relay::AnswerHead;
using godwit::relay::CallerHandler;
using godwit::relay::CallerServer;
using godwit::relay::CallerSession;
using godwit::relay::OutgoingRequest;
using godwit::relay::ReceivedRequest;
using godwit::relay::UpstreamPool;

namespace {

// Maximum wait for an expected event.
constexpr Millis kTimeout(5000);

// Runs the context until `done` returns true or the timeout is reached.
bool RunUntil(boost::asio::io_context& io, const std::function<bool()>& done) {
  const Millis deadline = godwit::base::SteadyNow() + kTimeout;
  while (!done() && godwit::base::SteadyNow() < deadline) {
    io.restart();
    io.run_for(std::chrono::milliseconds(5));
  }
  return done();
}

class Answer : public AnswerHandler {
 public:
  bool OnHead(const AnswerHead& head) override {
    const auto id = head.headers.Find("X-Id");
    if (id && *id != wanted_id) {
      return false;
    }
    status = head.status;
    return true;
  }
  void OnBody(std::string_view bytes) override { body.append(bytes); }
  void OnEnd() override { ended = true; }
  void OnFailure(Failure kind) override {
    failure = kind;
    failed = true;
  }
  bool finished() const { return ended || failed; }

  std::string wanted_id = "1";
  int status = 0;
  std::string body;
  bool ended = false;
  bool failed = false;
  Failure failure = Failure::kLost;
};

OutgoingRequest Get(const std::string& id = "") {
  OutgoingRequest request;
  request.id = id;
  request.head = "GET / HTTP/1.1\r\nHost: x\r\n\r\n";
  return request;
}

Endpoint Local(uint16_t port) {
  return {"127.0.0.1", port};
}

}  // namespace

TEST_GROUP(UpstreamPool) {
  boost::asio::io_context io{1};
  UpstreamPool pool{io, UpstreamPool::Options()};
};

TEST(UpstreamPool, ClosesAConnectionWithBytesWithoutEndThatAreNoAnswer) {
  struct Case {
    const char* name;
    std::string bytes;
  };
  const std::string endless(size_t{4} * 1024 * 1024, 'x');
  const std::string chunked =
      "HTTP/1.1 200 OK\r\nX-Id: 1\r\nTransfer-Encoding: chunked\r\n\r\n";
  const std::vector<Case> cases = {
      {"no line end", endless},
      {"a status line without end", "HTTP/1.1 200 " + endless},
      {"a header without end", "HTTP/1.1 200 OK\r\nX-Id: " + endless},
      {"a chunk size without end", chunked + std::string(endless.size(), '0')},
      {"a chunk extension without end", chunked + "5;a=" + endless},
      {"a trailer without end", chunked + "0\r\nX-Trailer: " + endless}};
  for (const Case& c : cases) {
    RawServer server([&c](int, const std::string&) { return c.bytes; });
    Answer answer;
    pool.Send(Local(server.port()), Get(), answer);
    CHECK_TEXT(RunUntil(io, [&] { return answer.finished(); }), c.name);
    CHECK_TEXT(answer.failed, c.name);
    CHECK_TEXT(answer.failure == AnswerHandler::Failure::kDamaged, c.name);
    CHECK_EQUAL_TEXT(0, pool.open_connections(), c.name);
  }
}

TEST(UpstreamPool, ReportsCompleteAndDamagedAnswers) {
  struct Case {
    const char* name;
    std::string bytes;
    bool ended;
    AnswerHandler::Failure failure;
    const char* body;
  };
  using Failure = AnswerHandler::Failure;
  const std::vector<Case> cases = {
      {"complete", "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nab", true,
       Failure::kLost, "ab"},
      {"not an answer", "nonsense\r\n\r\n", false, Failure::kDamaged, ""},
      {"answer to another request first",
       "HTTP/1.1 200 OK\r\nX-Id: 9\r\nContent-Length: 3\r\n\r\nxyz"
       "HTTP/1.1 200 OK\r\nX-Id: 1\r\nContent-Length: 2\r\n\r\nab",
       true, Failure::kLost, "ab"},
  };
  for (const Case& c : cases) {
    RawServer server([&](int, const std::string&) { return c.bytes; });
    Answer answer;
    pool.Send(Local(server.port()), Get(), answer);
    CHECK_TEXT(RunUntil(io, [&] { return answer.finished(); }), c.name);
    CHECK_EQUAL_TEXT(c.ended, answer.ended, c.name);
    STRCMP_EQUAL_TEXT(c.body, answer.body.c_str(), c.name);
    if (!c.ended) {
      CHECK_EQUAL_TEXT(static_cast<int>(c.failure),
                       static_cast<int>(answer.failure), c.name);
    }
  }
}

TEST(UpstreamPool, ReusesAConnectionUnlessBytesFollowTheAnswer) {
  const std::string plain = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nab";
  for (const bool extra : {false, true}) {
    RawServer server([&](int, const std::string&) {
      return plain + (extra ? "HTTP/1.1 200 OK\r\n" : "");
    });
    const int64_t before = pool.opened_connections();
    for (int i = 0; i < 3; ++i) {
      Answer answer;
      pool.Send(Local(server.port()), Get(), answer);
      CHECK(RunUntil(io, [&] { return answer.finished(); }));
      CHECK(answer.ended);
    }
    CHECK_EQUAL(extra ? 3 : 1, pool.opened_connections() - before);
  }
}

// Guards against answers that reach another caller: a server may send a copy of
// an answer late, on a connection that is in use again.
TEST(UpstreamPool, SkipsALateCopyOfAnEarlierAnswerOnAReusedConnection) {
  const auto answer_to = [](const std::string& id) {
    return "HTTP/1.1 200 OK\r\nX-Id: " + id + "\r\nContent-Length: 1\r\n\r\n" +
           id;
  };
  RawServer server([&](int, const std::string&) {
    static int request = 0;
    ++request;
    return request == 1 ? answer_to("1") : answer_to("1") + answer_to("2");
  });
  const int64_t before = pool.opened_connections();
  for (const char* id : {"1", "2"}) {
    Answer answer;
    answer.wanted_id = id;
    pool.Send(Local(server.port()), Get(), answer);
    CHECK(RunUntil(io, [&] { return answer.finished(); }));
    STRCMP_EQUAL(id, answer.body.c_str());
  }
  CHECK_EQUAL(1, pool.opened_connections() - before);
}

TEST(UpstreamPool, LateCopyOfARejectionIsTakenForTheAnswerToTheNextSend) {
  const std::string rejection =
      "HTTP/1.1 503 Busy\r\nX-Id: 1\r\nContent-Length: 0\r\n\r\n";
  const std::string success =
      "HTTP/1.1 200 OK\r\nX-Id: 1\r\nContent-Length: 0\r\n\r\n";
  // Each request that follows another one on its connection gets a copy of the
  // rejection first.
  RawServer server([&](int connection, const std::string&) {
    return connection == 0 ? rejection : success;
  });
  for (const int status : {503, 200}) {
    Answer answer;
    pool.Send(Local(server.port()), Get("1"), answer);
    CHECK(RunUntil(io, [&] { return answer.finished(); }));
    CHECK_EQUAL(status, answer.status);
  }
  CHECK_EQUAL(2, pool.opened_connections());
}

TEST(UpstreamPool, ReusesConnectionsForOtherRequestsUpToALimit) {
  const std::string plain = "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n";
  RawServer server([&](int, const std::string&) { return plain; });
  for (int i = 0; i < 1100; ++i) {
    Answer answer;
    pool.Send(Local(server.port()), Get(std::to_string(i)), answer);
    CHECK(RunUntil(io, [&] { return answer.finished(); }));
  }
  CHECK_EQUAL(2, pool.opened_connections());
}

TEST(UpstreamPool, ReportsNotSentWhenTheConnectionFails) {
  uint16_t unused = 0;
  {
    RawServer closed([](int, const std::string&) { return std::string(); });
    unused = closed.port();
  }
  Answer answer;
  pool.Send(Local(unused), Get(), answer);
  CHECK(RunUntil(io, [&] { return answer.finished(); }));
  CHECK(answer.failed);
  CHECK_EQUAL(static_cast<int>(AnswerHandler::Failure::kNotSent),
              static_cast<int>(answer.failure));
}

TEST(UpstreamPool, DoesNotCallTheHandlerAfterCancel) {
  RawServer server([](int, const std::string&) { return std::string(); });
  Answer answer;
  const int64_t id = pool.Send(Local(server.port()), Get(), answer);
  RunUntil(io, [&] { return pool.open_connections() == 1; });
  pool.Cancel(id);
  io.restart();
  io.run_for(std::chrono::milliseconds(20));
  CHECK(!answer.finished());
  CHECK_EQUAL(0, pool.open_connections());
}

namespace {

class Callers : public CallerHandler {
 public:
  void OnRequest(const std::shared_ptr<CallerSession>& session,
                 ReceivedRequest request) override {
    targets.push_back(request.head.target);
    last = session;
    if (answers_requests) {
      session->Respond(200, "X: y\r\n", *request.body);
    }
  }
  void OnCallerDisconnected(const std::shared_ptr<CallerSession>&) override {
    ++disconnects;
  }
  void OnCallerWritable(const std::shared_ptr<CallerSession>&) override {}
  void OnRequestRefused(int status, const std::string&) override {
    refused_statuses.push_back(status);
  }

  bool answers_requests = true;
  std::vector<std::string> targets;
  std::vector<int> refused_statuses;
  std::shared_ptr<CallerSession> last;
  int disconnects = 0;
};

}  // namespace

TEST_GROUP(CallerServer) {
  boost::asio::io_context io{1};
  Callers callers;
  CallerServer server{io, callers};
  uint16_t port = 0;

  void setup() override {
    // A port that was free just before.
    RawServer probe([](int, const std::string&) { return std::string(); });
    port = probe.port();
  }

  void Listen() {
    CHECK_TEXT(server.Listen(Local(port)),
               server.last_error().ToString().c_str());
  }
};

TEST(CallerServer, DropsARequestSmuggledBehindARefusedOne) {
  Listen();
  RawConnection caller(port);
  caller.Send(
      "POST /a HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: xchunked\r\n\r\n"
      "GET /hidden HTTP/1.1\r\nHost: x\r\n\r\n");
  CHECK(RunUntil(io, [&] { return !callers.refused_statuses.empty(); }));
  RunUntil(io, [&] { return server.connections() == 0; });
  CHECK_EQUAL(400, callers.refused_statuses[0]);
  CHECK(callers.targets.empty());
}

TEST(CallerServer, AnswersRequestsOnOneConnectionInOrder) {
  Listen();
  RawConnection caller(port);
  caller.Send(
      "GET /a HTTP/1.1\r\nHost: x\r\n\r\nGET /b HTTP/1.1\r\nHost: x\r\n\r\n");
  CHECK(RunUntil(io, [&] { return callers.targets.size() == 2; }));
  STRCMP_EQUAL("/a", callers.targets[0].c_str());
  STRCMP_EQUAL("/b", callers.targets[1].c_str());
}

TEST(CallerServer, ReportsThatTheCallerDisconnects) {
  callers.answers_requests = false;
  Listen();
  {
    RawConnection caller(port);
    caller.Send("GET /a HTTP/1.1\r\nHost: x\r\n\r\n");
    CHECK(RunUntil(io, [&] { return !callers.targets.empty(); }));
  }
  CHECK(RunUntil(io, [&] { return callers.disconnects == 1; }));
}

TEST(CallerServer, DropsARequestWhoseCallerLeftBeforeItWasRead) {
  Listen();
  {
    RawConnection caller(port);
    caller.Send("GET /a HTTP/1.1\r\nHost: x\r\n\r\n");
  }
  io.run_for(std::chrono::milliseconds(100));
  CHECK(callers.targets.empty());
  CHECK_EQUAL(0, callers.disconnects);
  CHECK_EQUAL(0, server.connections());
}

TEST(CallerServer, AbortsAStreamWithoutSendingTheLastChunk) {
  callers.answers_requests = false;
  Listen();
  RawConnection caller(port);
  caller.Send("GET /a HTTP/1.1\r\nHost: x\r\n\r\n");
  CHECK(RunUntil(io, [&] { return !callers.targets.empty(); }));
  callers.last->Begin(200, "", false);
  callers.last->Write("piece");
  callers.last->Abort();
  RunUntil(io, [&] { return server.connections() == 0; });
  const std::string all = caller.ReadToEnd();
  CHECK(all.find("piece") != std::string::npos);
  CHECK(all.find("0\r\n\r\n") == std::string::npos);
}

TEST(CallerServer, RefusesARequestThatExceedsTheRequestTimeout) {
  CallerServer::Limits limits;
  limits.request_timeout = Millis(50);
  server.SetLimits(limits);
  Listen();
  RawConnection caller(port);
  caller.Send("GET /a HTTP/1.1\r\nHos");
  CHECK(RunUntil(io, [&] {
    server.Tick();
    return !callers.refused_statuses.empty();
  }));
  CHECK_EQUAL(408, callers.refused_statuses[0]);
}

// Guards against requests that are cut off without an answer when the process
// stops while callers send them.
TEST(CallerServer, AnswersRequestsThatCallersSentBeforeItCloses) {
  Listen();
  RawConnection idle(port);
  RawConnection unread(port);
  RawConnection partly_sent(port);
  CHECK(RunUntil(io, [&] { return server.connections() == 3; }));
  unread.Send("GET /unread HTTP/1.1\r\nHost: x\r\n\r\n");
  partly_sent.Send("GET /partly HTTP/1.1\r\nHo");
  RawConnection not_accepted(port);
  not_accepted.Send("GET /waiting HTTP/1.1\r\nHost: x\r\n\r\n");
  server.Drain();
  server.Close();
  partly_sent.Send("st: x\r\n\r\n");
  CHECK(RunUntil(io, [&] { return callers.targets.size() == 3; }));
  CHECK(RunUntil(io, [&] {
    server.Tick();
    return server.unanswered() == 0 && server.connections() < 4;
  }));
  for (RawConnection* caller : {&unread, &partly_sent, &not_accepted}) {
    const std::string answer = caller->ReadToEnd();
    CHECK_TEXT(answer.find(" 200 ") != std::string::npos, answer.c_str());
  }
  STRCMP_EQUAL("", idle.ReadToEnd().c_str());
}

TEST(CallerServer, ClosesConnectionsAfterTheNextAnswerWhileDraining) {
  Listen();
  RawConnection caller(port);
  server.Drain();
  caller.Send("GET /a HTTP/1.1\r\nHost: x\r\n\r\n");
  CHECK(RunUntil(io, [&] { return !callers.targets.empty(); }));
  RunUntil(io, [&] { return callers.last->queued_bytes() == 0; });
  const std::string answer = caller.ReadToEnd();
  CHECK(answer.find("Connection: close") != std::string::npos);
}

// Guards against a hand-over that closes more connections than it was told to,
// or one without its answer.
TEST(CallerServer, ClosesTheStatedNumberOfConnectionsAfterTheirAnswers) {
  Listen();
  server.CloseAfterAnswers(1);
  for (const bool is_closed : {true, false}) {
    RawConnection caller(port);
    callers.targets.clear();
    caller.Send("GET /a HTTP/1.1\r\nHost: x\r\n\r\n");
    CHECK(RunUntil(io, [&] { return !callers.targets.empty(); }));
    RunUntil(io, [&] { return callers.last->queued_bytes() == 0; });
    if (is_closed) {
      const std::string answer = caller.ReadToEnd();
      CHECK(answer.find("200 OK") != std::string::npos);
      CHECK(answer.find("Connection: close") != std::string::npos);
      continue;
    }
    caller.Send("GET /b HTTP/1.1\r\nHost: x\r\n\r\n");
    CHECK(RunUntil(io, [&] { return callers.targets.size() == 2; }));
  }
  CHECK(server.traffic().received > 0);
  CHECK(server.traffic().sent > server.traffic().received);
}
