// Limits of a CallerServer on clients that don't behave.
#include <sys/resource.h>

#include <boost/asio/io_context.hpp>
#include <chrono>
#include <future>
#include <memory>
#include <string>
#include <thread>

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

// More than the kernel holds for a connection.
constexpr size_t kAnswerBytes = 12'000'000;
const char kGet[] = "GET / HTTP/1.1\r\nHost: x\r\n\r\n";

// Answers each request at once with an answer of this size.
class Answers : public CallerHandler {
 public:
  void OnRequest(const std::shared_ptr<CallerSession>& session,
                 ReceivedRequest /*request*/) override {
    ++requests;
    session->Respond(200, "", std::string(bytes, 'x'));
  }
  void OnCallerDisconnected(const std::shared_ptr<CallerSession>&) override {}
  void OnCallerWritable(const std::shared_ptr<CallerSession>&) override {}
  void OnRequestRefused(int, const std::string&) override {}

  size_t bytes = 2;
  size_t requests = 0;
};

}  // namespace

TEST_GROUP(CallerLimits) {
  boost::asio::io_context io{1};
  Answers answers;
  CallerServer server{io, answers};
  uint16_t port = 0;

  void setup() override {
    {
      // A port that was free just before.
      RawServer probe([](int, const std::string&) { return std::string(); });
      port = probe.port();
    }
    CHECK(server.Listen(Local(port)));
  }

  // Runs the server until `future` is ready.
  template <typename Future>
  void RunUntilReady(const Future& future) {
    while (future.wait_for(std::chrono::seconds(0)) !=
           std::future_status::ready) {
      io.restart();
      io.run_for(std::chrono::milliseconds(10));
      server.Tick();
    }
  }
};

// An idle connection is one whose answers have left.
TEST(CallerLimits, AnswerThatIsReadLateIsCutOffByTheIdleTimeout) {
  CallerServer::Limits limits;
  limits.keep_alive_timeout = Millis(200);
  server.SetLimits(limits);
  answers.bytes = kAnswerBytes;
  auto received = std::async(std::launch::async, [this] {
    RawConnection caller(port);
    caller.Send(kGet);
    std::this_thread::sleep_for(std::chrono::milliseconds(1500));
    return caller.ReadToEnd();
  });
  RunUntilReady(received);
  const std::string answer = received.get();
  CHECK_EQUAL(kAnswerBytes, answer.size() - answer.find("\r\n\r\n") - 4);
}

TEST(CallerLimits, AnswerThatIsNeverReadHoldsItsConnection) {
  CallerServer::Limits limits;
  limits.unread_timeout = Millis(300);
  limits.keep_alive_timeout = Millis(60'000);
  server.SetLimits(limits);
  answers.bytes = kAnswerBytes;
  RawConnection caller(port);
  caller.Send(kGet);
  CHECK(RunUntil(io, [&] { return answers.requests == 1; }));
  CHECK(RunUntil(io, [&] {
    server.Tick();
    return server.connections() == 0;
  }));
  CHECK_EQUAL(1, server.closed_at_limits().unread);
}

// Guards against a loop of accepts that fail, which takes the whole processor.
TEST(CallerLimits, AcceptsInALoopWithoutDescriptors) {
  RawConnection idle(port);
  CHECK(RunUntil(io, [&] { return server.connections() == 1; }));
  RawConnection caller(port);
  caller.Send(kGet);
  rlimit before{};
  getrlimit(RLIMIT_NOFILE, &before);
  const rlimit none{0, before.rlim_max};
  setrlimit(RLIMIT_NOFILE, &none);
  io.restart();
  const size_t handlers = io.run_for(std::chrono::milliseconds(250));
  setrlimit(RLIMIT_NOFILE, &before);
  CHECK(handlers < 100);
  CHECK(server.closed_at_limits().not_accepted > 0);
  // The idle connection has given way, and the next caller is answered.
  CHECK(RunUntil(io, [&] { return answers.requests == 1; }));
  CHECK_EQUAL(1, server.connections());
}

TEST(CallerLimits, ConnectionWithAnUnreadRequestGivesWay) {
  CallerServer::Limits limits;
  limits.connections = 2;
  server.SetLimits(limits);
  RawConnection first(port);
  RawConnection second(port);
  CHECK(RunUntil(io, [&] { return server.connections() == 2; }));
  // Received by the kernel, and not read yet, when the third one is accepted.
  first.Send(kGet);
  RawConnection third(port);
  third.Send(kGet);
  CHECK(RunUntil(io, [&] { return answers.requests == 2; }));
  CHECK_EQUAL(2, server.connections());
  CHECK_EQUAL(1, server.closed_at_limits().replaced);
}
