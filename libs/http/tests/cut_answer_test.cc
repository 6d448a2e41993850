// Answers that a server cuts off anywhere before it closes the connection.
#include <cstddef>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "core_thread.h"
#include "http/client_call.h"
#include "http/client_pool.h"
#include "http/request.h"
#include "http/response.h"
#include "raw_server.h"

#include <CppUTest/TestHarness.h>

using godwit::http::ClientCall;
using godwit::http::ClientPool;
using godwit::http::CoreThread;
using godwit::http::RawServer;
using godwit::http::Request;
using godwit::http::Response;

TEST_GROUP(CutAnswer){};

TEST(CutAnswer, AnswerThatStopsWithinItsHeadIsComplete) {
  struct Case {
    const char* name;
    std::string text;
  };
  const std::string head = "HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\n";
  const std::vector<Case> cases = {
      {"length", head + "Content-Length: 5\r\n\r\nhello"},
      {"chunks", head + "Transfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n"
                        "0\r\n\r\n"},
      {"after an interim answer",
       "HTTP/1.1 100 Continue\r\n\r\n" + head + "Content-Length: 0\r\n\r\n"},
  };
  CoreThread core;
  std::string text;
  RawServer server([&text](int, const std::string&) { return text; }, true);
  ClientPool pool(core.runtime(), "127.0.0.1", server.port());
  for (const Case& c : cases) {
    for (size_t cut = 0; cut <= c.text.size(); ++cut) {
      text = c.text.substr(0, cut);
      const auto response = core.Call<std::optional<Response>>([&pool]() {
        Request request;
        request.method = "GET";
        request.target = "/";
        return ClientCall(pool, std::move(request)).Perform();
      });
      CHECK_EQUAL_TEXT(cut == c.text.size(), response.has_value(),
                       (c.name + (": " + text)).c_str());
    }
  }
}
