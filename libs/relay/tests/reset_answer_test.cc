// Answers of servers that reset the connection while the request is written.
#include <boost/asio/io_context.hpp>
#include <chrono>
#include <memory>
#include <string>
#include <vector>

#include "relay/answer_handler.h"
#include "relay/answer_head.h"
#include "relay/outgoing_request.h"
#include "relay/upstream_pool.h"
#include "relay_io.h"
#include "resetting_server.h"

#include <CppUTest/TestHarness.h>

using godwit::http::ResettingServer;
using godwit::relay::AnswerHandler;
using godwit::relay::AnswerHead;
using godwit::relay::Local;
using godwit::relay::OutgoingRequest;
using godwit::relay::RunUntil;
using godwit::relay::UpstreamPool;

namespace {

constexpr size_t kUploadBytes = 7'000'000;
constexpr size_t kAnswerBytes = 20'000;
constexpr int kRepeats = 10;

struct Answer : AnswerHandler {
  bool OnHead(const AnswerHead& /*head*/) override { return true; }
  void OnBody(std::string_view /*bytes*/) override {}
  void OnEnd() override { ended = true; }
  void OnFailure(Failure /*failure*/) override { failed = true; }

  bool ended = false;
  bool failed = false;
};

OutgoingRequest Upload() {
  OutgoingRequest request;
  request.head = "POST / HTTP/1.1\r\nHost: x\r\nContent-Length: " +
                 std::to_string(kUploadBytes) + "\r\n\r\n";
  request.body = std::make_shared<const std::string>(kUploadBytes, 'x');
  return request;
}

}  // namespace

TEST_GROUP(ResetAnswer) {
  boost::asio::io_context io{1};
  UpstreamPool pool{io, UpstreamPool::Options()};
};

TEST(ResetAnswer, AnswerWithoutLengthThatIsResetIsComplete) {
  for (const int delay_ms : {0, 1, 5, 20, 200}) {
    ResettingServer server(
        [](const std::string&) {
          return "HTTP/1.1 200 OK\r\n\r\n" + std::string(kAnswerBytes, 'x');
        },
        std::chrono::milliseconds(delay_ms));
    for (int i = 0; i < kRepeats; ++i) {
      Answer answer;
      pool.Send(Local(server.port()), Upload(), answer);
      CHECK(RunUntil(io, [&] { return answer.ended || answer.failed; }));
      CHECK_TEXT(answer.failed, std::to_string(delay_ms).c_str());
    }
  }
}
