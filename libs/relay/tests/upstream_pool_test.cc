#include "relay/upstream_pool.h"

#include <boost/asio/io_context.hpp>
#include <chrono>
#include <memory>
#include <string>
#include <vector>

#include "raw_server.h"
#include "relay/answer_handler.h"
#include "relay/answer_head.h"
#include "relay/outgoing_request.h"
#include "relay_io.h"

#include <CppUTest/TestHarness.h>

using godwit::http::RawServer;
using godwit::relay::AnswerHandler;
using godwit::relay::AnswerHead;
using godwit::relay::Local;
using godwit::relay::OutgoingRequest;
using godwit::relay::RunUntil;
using godwit::relay::UpstreamPool;

namespace {

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

// Returns copies of `text`, together of at least `size` bytes.
std::string Repeat(const std::string& text, size_t size) {
  std::string copies;
  while (copies.size() < size) {
    copies += text;
  }
  return copies;
}

OutgoingRequest Get(const std::string& id = "") {
  OutgoingRequest request;
  request.id = id;
  request.head = "GET / HTTP/1.1\r\nHost: x\r\n\r\n";
  return request;
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
  const std::string other =
      "HTTP/1.1 200 OK\r\nX-Id: 9\r\nContent-Length: 2\r\n\r\nab";
  const std::vector<Case> cases = {
      {"no line end", endless},
      {"a status line without end", "HTTP/1.1 200 " + endless},
      {"a header without end", "HTTP/1.1 200 OK\r\nX-Id: " + endless},
      {"a chunk size without end", chunked + std::string(endless.size(), '0')},
      {"a chunk extension without end", chunked + "5;a=" + endless},
      {"a trailer without end", chunked + "0\r\nX-Trailer: " + endless},
      {"answers to other requests without end", Repeat(other, endless.size())},
      {"an answer to another request without end",
       "HTTP/1.1 200 OK\r\nX-Id: 9\r\nContent-Length: 9999999\r\n\r\n" +
           endless},
      {"interim answers without end",
       Repeat("HTTP/1.1 100 Continue\r\n\r\n", endless.size())}};
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
  RawServer server([](int, const std::string&) {
    return "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n";
  });
  for (int i = 0; i < 1100; ++i) {
    Answer answer;
    pool.Send(Local(server.port()), Get(std::to_string(i)), answer);
    CHECK(RunUntil(io, [&] { return answer.finished(); }));
  }
  CHECK_EQUAL(2, pool.opened_connections());
}

// Load: requests that move from one service to another, while the connections
// of the first are idle.
TEST(UpstreamPool, IdleConnectionsTakeAllDescriptors) {
  UpstreamPool::Options options;
  options.connections = 3;
  UpstreamPool bounded(io, options);
  const auto answer_all = [](int, const std::string&) {
    return std::string("HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n");
  };
  std::vector<std::unique_ptr<RawServer>> servers;
  for (int i = 0; i < 5; ++i) {
    servers.push_back(std::make_unique<RawServer>(answer_all));
    Answer answer;
    bounded.Send(Local(servers.back()->port()), Get(), answer);
    CHECK(RunUntil(io, [&] { return answer.finished(); }));
    CHECK(answer.ended);
    CHECK(bounded.open_connections() <= options.connections);
  }
  // The last three are still open.
  for (int i = 2; i < 5; ++i) {
    Answer answer;
    bounded.Send(Local(servers[i]->port()), Get(), answer);
    CHECK(RunUntil(io, [&] { return answer.finished(); }));
  }
  CHECK_EQUAL(5, bounded.opened_connections());
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
