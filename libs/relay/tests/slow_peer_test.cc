#include <boost/asio/io_context.hpp>
#include <chrono>
#include <future>
#include <memory>
#include <string>
#include <thread>
#include <vector>

#include "base/clocks.h"
#include "peer_progress.h"
#include "raw_connection.h"
#include "raw_server.h"
#include "relay/answer_handler.h"
#include "relay/answer_head.h"
#include "relay/caller_handler.h"
#include "relay/caller_server.h"
#include "relay/caller_session.h"
#include "relay/outgoing_request.h"
#include "relay/upstream_pool.h"
#include "relay_io.h"

#include <CppUTest/TestHarness.h>

using godwit::base::Millis;
using godwit::base::SteadyNow;
using godwit::http::RawConnection;
using godwit::http::RawServer;
using godwit::relay::AnswerHandler;
using godwit::relay::AnswerHead;
using godwit::relay::CallerHandler;
using godwit::relay::CallerServer;
using godwit::relay::CallerSession;
using godwit::relay::HasNoRoom;
using godwit::relay::IsGone;
using godwit::relay::Local;
using godwit::relay::OutgoingRequest;
using godwit::relay::PeerProgress;
using godwit::relay::ReceivedRequest;
using godwit::relay::UpstreamPool;

namespace {

// Answers each request with as many bytes as its path says.
class SizedAnswers : public CallerHandler {
 public:
  void OnRequest(const std::shared_ptr<CallerSession>& session,
                 ReceivedRequest request) override {
    session->Respond(
        200, "", std::string(std::stoul(request.head.target.substr(1)), 'x'));
  }
  void OnCallerDisconnected(const std::shared_ptr<CallerSession>&) override {}
  void OnCallerWritable(const std::shared_ptr<CallerSession>&) override {}
  void OnRequestRefused(int, const std::string&) override {}
};

// The end of one answer.
class Outcome : public AnswerHandler {
 public:
  bool OnHead(const AnswerHead& head) override {
    status = head.status;
    return true;
  }
  void OnBody(std::string_view /*bytes*/) override {}
  void OnEnd() override { finished = true; }
  void OnFailure(Failure /*failure*/) override {
    status = 0;
    finished = true;
  }

  int status = 0;
  bool finished = false;
};

}  // namespace

TEST_GROUP(SlowPeer){};

TEST(SlowPeer, CallerThatReadsSlowlyIsCutOff) {
  // The first answer fits into the buffers of the kernel, the second doesn't.
  const std::vector<size_t> sizes = {600'000, 12'000'000};
  // No caller reads for this long, above the time without acknowledgement.
  constexpr Millis pause(8000);
  boost::asio::io_context io(1);
  SizedAnswers answers;
  CallerServer server(io, answers);
  uint16_t port = 0;
  {
    // A port that was free just before.
    const RawServer probe(
        [](int, const std::string&) { return std::string(); });
    port = probe.port();
  }
  CHECK(server.Listen(Local(port)));
  std::vector<std::future<size_t>> received;
  received.reserve(sizes.size());
  for (const size_t size : sizes) {
    received.push_back(std::async(std::launch::async, [port, size, pause] {
      RawConnection caller(port);
      caller.Send("GET /" + std::to_string(size) +
                  " HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n");
      std::this_thread::sleep_for(std::chrono::milliseconds(pause.count()));
      const std::string answer = caller.ReadToEnd();
      return answer.size() - answer.find("\r\n\r\n") - 4;
    }));
  }
  for (size_t i = 0; i < sizes.size(); ++i) {
    while (received[i].wait_for(std::chrono::seconds(0)) !=
           std::future_status::ready) {
      io.restart();
      io.run_for(std::chrono::milliseconds(20));
      server.Tick();
    }
    const size_t size = received[i].get();
    CHECK_EQUAL(sizes[i], size);
  }
}

TEST(SlowPeer, RequestToAServerThatReadsSlowlyIsLost) {
  // Above the time without acknowledgement after which servers are given up.
  constexpr std::chrono::milliseconds pause(4000);
  RawServer server([pause](int, const std::string& request) {
    if (request.find("POST") == 0) {
      // The head; the body is read later.
      std::this_thread::sleep_for(pause);
      return std::string();
    }
    return std::string("HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n");
  });
  boost::asio::io_context io(1);
  UpstreamPool pool(io, UpstreamPool::Options());
  // Ends as the server's requests end.
  const std::string body = std::string(8'000'000, 'x') + "\r\n\r\n";
  OutgoingRequest request;
  request.head = "POST / HTTP/1.1\r\nHost: x\r\nContent-Length: " +
                 std::to_string(body.size()) + "\r\n\r\n";
  request.body = std::make_shared<const std::string>(body);
  Outcome outcome;
  pool.Send(Local(server.port()), std::move(request), outcome);
  const Millis deadline = SteadyNow() + Millis(20'000);
  while (!outcome.finished && SteadyNow() < deadline) {
    io.restart();
    io.run_for(std::chrono::milliseconds(20));
    pool.Tick();
  }
  CHECK_EQUAL(200, outcome.status);
}

TEST(SlowPeer, PeersWithoutRoomAreGoneIfTheyAcknowledgeNoProbe) {
  struct Case {
    const char* name;
    PeerProgress progress;
    bool has_no_room;
    bool is_gone;
  };
  constexpr Millis timeout(5000);
  for (const Case& c :
       {Case{"nothing waits", {false, 0, 0, Millis(60'000)}, false, false},
        // The kernel ends these itself.
        Case{"acknowledges nothing", {true, 10, 0, Millis(5000)}, false, false},
        Case{"the last probe was acknowledged",
             {true, 0, 0, Millis(50'000)},
             true,
             false},
        Case{"a probe is under way", {true, 0, 1, Millis(50'000)}, true, false},
        Case{"probes are lost", {true, 0, 2, Millis(5000)}, true, true},
        Case{"probes were lost just now",
             {true, 0, 2, Millis(1500)},
             true,
             false}}) {
    CHECK_EQUAL_TEXT(c.has_no_room, HasNoRoom(c.progress), c.name);
    CHECK_EQUAL_TEXT(c.is_gone, IsGone(c.progress, timeout), c.name);
  }
}
