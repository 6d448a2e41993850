#include <boost/asio/io_context.hpp>
#include <chrono>
#include <memory>
#include <string>
#include <thread>
#include <vector>

#include "raw_connection.h"
#include "raw_server.h"
#include "relay/caller_handler.h"
#include "relay/caller_server.h"
#include "relay/caller_session.h"
#include "relay_io.h"

#include <CppUTest/TestHarness.h>

using godwit::base::Millis;
using godwit::http::RawConnection;
using godwit::http::RawServer;
using godwit::relay::CallerHandler;
using godwit::relay::CallerServer;
using godwit::relay::CallerSession;
using godwit::relay::Local;
using godwit::relay::ReceivedRequest;
using godwit::relay::RunUntil;

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
