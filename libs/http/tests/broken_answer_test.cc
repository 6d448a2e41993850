// Answers that violate HTTP, break off or have no end, at the client.
#include <cstddef>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "broken_heads.h"
#include "core_thread.h"
#include "http/client_call.h"
#include "http/client_pool.h"
#include "http/request.h"
#include "http/response.h"
#include "raw_server.h"
#include "resetting_server.h"

#include <CppUTest/TestHarness.h>

using godwit::base::Seconds;
using godwit::http::BrokenHead;
using godwit::http::BrokenHeads;
using godwit::http::ClientCall;
using godwit::http::ClientPool;
using godwit::http::CoreThread;
using godwit::http::RawServer;
using godwit::http::Request;
using godwit::http::ResettingServer;
using godwit::http::Response;

namespace {

constexpr size_t kUploadBytes = 7'000'000;
constexpr size_t kAnswerBytes = 20'000;
constexpr size_t kEndlessBytes = size_t{4} * 1024 * 1024;
constexpr int kRepeats = 10;

struct Outcome {
  bool head = false;
  bool complete = false;
  std::string reason;
};

Outcome Call(CoreThread& core, ClientPool& pool, const std::string& body) {
  return core.Call<Outcome>([&pool, &body]() {
    Request request;
    request.method = body.empty() ? "GET" : "POST";
    request.target = "/";
    request.body = body;
    Outcome outcome;
    ClientCall call(pool, std::move(request));
    call.OnHead([&outcome](const Response&) { outcome.head = true; })
        .TotalTimeout(Seconds(10));
    outcome.complete = call.Perform().has_value();
    outcome.reason = call.last_error().message();
    return outcome;
  });
}

std::string Copies(const std::string& text, size_t size) {
  std::string copies;
  while (copies.size() < size) {
    copies += text;
  }
  return copies;
}

}  // namespace

TEST_GROUP(BrokenAnswer){};

TEST(BrokenAnswer, BrokenHeadIsPassedOn) {
  CoreThread core;
  std::string text;
  RawServer server([&text](int, const std::string&) { return text; }, true);
  ClientPool pool(core.runtime(), "127.0.0.1", server.port());
  for (const BrokenHead& broken : BrokenHeads()) {
    text = broken.answer;
    const Outcome outcome = Call(core, pool, "");
    CHECK_FALSE_TEXT(outcome.head, broken.name.c_str());
    CHECK_FALSE_TEXT(outcome.complete, broken.name.c_str());
  }
}

TEST(BrokenAnswer, AnswerWithoutLengthThatIsResetIsComplete) {
  CoreThread core;
  ResettingServer server([](const std::string&) {
    return "HTTP/1.1 200 OK\r\n\r\n" + std::string(kAnswerBytes, 'x');
  });
  ClientPool pool(core.runtime(), "127.0.0.1", server.port());
  for (int i = 0; i < kRepeats; ++i) {
    CHECK_FALSE(Call(core, pool, std::string(kUploadBytes, 'x')).complete);
    CHECK_FALSE(Call(core, pool, "").complete);
  }
}

// Guards against calls that end with their timeout only, and hold what they
// have read until then.
TEST(BrokenAnswer, FramingWithoutEndIsReadOn) {
  const std::string chunked =
      "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
  const std::string endless(kEndlessBytes, 'x');
  struct Case {
    const char* name;
    std::string bytes;
  };
  const std::vector<Case> cases = {
      {"a header", "HTTP/1.1 200 OK\r\nX-A: " + endless},
      {"a chunk size", chunked + std::string(kEndlessBytes, '0')},
      {"a chunk extension", chunked + "5;a=" + endless},
      {"a trailer", chunked + "0\r\nX-A: " + endless},
      {"trailers", chunked + "0\r\n" + Copies("X-A: b\r\n", kEndlessBytes)},
      {"interim answers",
       Copies("HTTP/1.1 100 Continue\r\n\r\n", kEndlessBytes)},
  };
  CoreThread core;
  std::string text;
  RawServer server([&text](int, const std::string&) { return text; });
  ClientPool pool(core.runtime(), "127.0.0.1", server.port());
  for (const Case& c : cases) {
    text = c.bytes;
    const Outcome outcome = Call(core, pool, "");
    CHECK_FALSE_TEXT(outcome.complete, c.name);
    CHECK_TEXT(outcome.reason.find("timeout") == std::string::npos,
               (std::string(c.name) + ": " + outcome.reason).c_str());
  }
}
