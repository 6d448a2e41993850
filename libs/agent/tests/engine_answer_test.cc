#include <string>
#include <string_view>

#include "agent/engine_answer.h"
#include "agent/engine_request.h"
#include "link/start_run.h"

#include <CppUTest/TestHarness.h>

using godwit::agent::EngineAnswer;
using godwit::agent::EngineRequestBody;
using godwit::link::StartRun;

namespace {

constexpr std::string_view kOne =
    "data: {\"choices\":[{\"delta\":{\"content\":\"a \"}}]}\n\n";
constexpr std::string_view kTwo =
    "data: {\"choices\":[{\"delta\":{\"content\":\"b \"}}]}\r\n\r\n";
constexpr std::string_view kFinish =
    "data: {\"choices\":[{\"delta\":{},\"finish_reason\":\"stop\"}],"
    "\"usage\":{\"prompt_tokens\":7,\"completion_tokens\":2}}\n\n";
constexpr std::string_view kRole =
    "data: {\"choices\":[{\"delta\":{\"role\":\"assistant\"}}]}\n\n";
constexpr std::string_view kDone = "data: [DONE]\n\n";

std::string Join(std::initializer_list<std::string_view> parts) {
  std::string complete;
  for (const std::string_view part : parts) {
    complete.append(part);
  }
  return complete;
}

StartRun Start(std::string body, std::string prefix = "") {
  StartRun start;
  start.reserved = 50;
  start.output_cap = 10;
  start.body = std::move(body);
  start.answer_prefix = std::move(prefix);
  return start;
}

}  // namespace

TEST_GROUP(EngineAnswer){};

TEST(EngineAnswer, CountsTokensAndFindsUsage) {
  const std::string stream = R"({"stream":true})";
  struct Case {
    const char* name;
    StartRun start;
    std::string input;
    std::string output;
    int64_t tokens;
    int64_t prompt;
    int64_t completion;
  };
  const std::string complete = Join({kRole, kOne, kTwo, kFinish, kDone});
  const std::string json =
      R"({"choices":[],"usage":{"prompt_tokens":3,"completion_tokens":4}})";
  const Case cases[] = {
      {"stream", Start(stream), complete, complete, 2, 7, 2},
      {"no usage", Start(stream), Join({kOne, kTwo, kDone}),
       Join({kOne, kTwo, kDone}), 2, 40, 2},
      {"resumed", Start(stream, Join({kOne})), Join({kTwo, kFinish, kDone}),
       Join({kTwo, kFinish, kDone}), 1, 7, 2},
      {"resumed without usage", Start(stream, Join({kOne})), Join({kTwo}),
       Join({kTwo}), 1, 40, 2},
      {"resumed after the finish", Start(stream, Join({kOne, kTwo, kFinish})),
       Join({kFinish, kDone}), Join({kDone}), 0, 7, 2},
      {"resumed after the end", Start(stream, complete), Join({kFinish, kDone}),
       "", 0, 7, 2},
      {"truncated event", Start(stream), Join({kOne, "data: {"}),
       Join({kOne, "data: {"}), 1, 40, 1},
      {"unknown events", Start(stream), "data: [1]\n\n: hi\n\ndata:\n\n",
       "data: [1]\n\n: hi\n\ndata:\n\n", 0, 40, 0},
      {"one JSON text", Start("{}"), json, json, 0, 3, 4},
      {"no JSON", Start("{}"), "oops", "oops", 0, 40, 0},
      {"negative usage", Start("{}"), R"({"usage":{"prompt_tokens":-3}})",
       R"({"usage":{"prompt_tokens":-3}})", 0, 0, 0},
  };
  for (const Case& c : cases) {
    for (const size_t size : {size_t{1}, size_t{7}, size_t{1000}}) {
      EngineAnswer answer(c.start);
      std::string output;
      int64_t tokens = 0;
      for (size_t at = 0; at < c.input.size(); at += size) {
        const auto piece = answer.Feed(c.input.substr(at, size));
        output += piece.bytes;
        tokens += piece.tokens;
      }
      output += answer.Finish().bytes;
      CHECK_TEXT(output == c.output, c.name);
      CHECK_EQUAL_TEXT(c.tokens, tokens, c.name);
      CHECK_EQUAL_TEXT(c.prompt, answer.prompt_tokens(), c.name);
      CHECK_EQUAL_TEXT(c.completion, answer.completion_tokens(), c.name);
    }
  }
}

TEST(EngineAnswer, TextThatIsNoEventFollowsAResumedStream) {
  struct Case {
    const char* name;
    const char* prefix;
    const char* bytes;
    const char* rest;
    bool has_final_event;
  };
  const std::vector<Case> cases = {
      {"text", "data: {}\n\n", "not found", "", false},
      {"incomplete event", "data: {}\n\n", "data: {\"cho", "", false},
      {"final event", "data: {}\n\n", "data: [DONE]\n\n", "", true},
      {"prefix with the final event", "data: [DONE]\n\n", "", "", true},
      {"new stream", "", "not found", "not found", false},
  };
  for (const Case& c : cases) {
    StartRun start;
    start.body = R"({"stream":true})";
    start.answer_prefix = c.prefix;
    EngineAnswer answer(start);
    answer.Feed(c.bytes);
    STRCMP_EQUAL_TEXT(c.rest, answer.Finish().bytes.c_str(), c.name);
    CHECK_EQUAL_TEXT(c.has_final_event, answer.has_final_event(), c.name);
  }
}

TEST(EngineAnswer, RequestCarriesCapAndResume) {
  struct Case {
    std::string body;
    int64_t resume_tokens;
    std::string sent;
  };
  // Routers refuse such a body; a copy of it would exhaust the stack.
  const std::string nested =
      "{\"odd\":" + std::string(200'000, '[') + std::string(200'000, ']') + "}";
  const Case cases[] = {
      {R"({"model":"m"})", 0, R"({"max_tokens":10,"model":"m"})"},
      {R"({"max_tokens":99,"stream":true})", 3,
       R"({"max_tokens":10,"resume_tokens":3,"stream":true,)"
       R"("stream_options":{"include_usage":true}})"},
      {"[]", 3, "[]"},
      {"no JSON", 0, "no JSON"},
      {nested, 0, nested},
  };
  for (const Case& c : cases) {
    StartRun start = Start(c.body);
    start.resume_tokens = c.resume_tokens;
    CHECK(EngineRequestBody(start) == c.sent);
  }
}
