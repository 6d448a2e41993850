#include <functional>
#include <nlohmann/json.hpp>
#include <optional>
#include <string>
#include <thread>
#include <utility>
#include <vector>

#include "../src/answer.h"
#include "../src/engine_model.h"
#include "core_thread.h"
#include "http/client_call.h"
#include "http/client_pool.h"
#include "support/child_process.h"

#include <CppUTest/TestHarness.h>

using godwit::http::ClientCall;
using godwit::http::ClientPool;
using godwit::http::CoreThread;
using godwit::http::Headers;
using godwit::http::Response;
using godwit::standin::Answer;
using godwit::standin::EngineModel;
using godwit::support::ChildProcess;
using nlohmann::json;

namespace {

std::vector<std::string> Prompt(const std::string& word, size_t count) {
  return std::vector<std::string>(count, word);
}

EngineModel::Settings ModelSettings() {
  EngineModel::Settings settings;
  settings.max_batch = 2;
  settings.prefill_ms_per_token = 1;
  settings.decode_ms = 10;
  settings.decode_ms_per_request = 1;
  settings.cache_blocks = 4;
  return settings;
}

std::optional<double> Step(EngineModel& model) {
  const auto step_ms = model.BeginStep([](int64_t) {});
  model.FinishStep([](int64_t) { return false; });
  return step_ms;
}

class Engine {
 public:
  explicit Engine(const std::vector<std::string>& flags)
      : process_("standin-engine", flags),
        pool_(core_.runtime(), "127.0.0.1", process_.port()) {}

  ChildProcess& process() { return process_; }

  std::optional<Response> Post(const std::string& target,
                               const std::string& body,
                               const Headers& headers = {}) {
    return Call("POST", target, body, headers);
  }

  std::string Complete(const std::string& members) {
    const auto response =
        Post("/v1/chat/completions", R"({"messages":[{"role":"user","content":)"
                                     R"("how long does wool dry"}])" +
                                         members + "}");
    return response ? response->body : "";
  }

  json Get(const std::string& target) {
    const auto response = Call("GET", target, "", {});
    return response ? json::parse(response->body) : json();
  }

 private:
  std::optional<Response> Call(const std::string& method,
                               const std::string& target,
                               const std::string& body,
                               const Headers& headers) {
    return core_.Call<std::optional<Response>>([&] {
      ClientCall call(pool_, {method, target, headers, body});
      return call.Perform();
    });
  }

  ChildProcess process_;
  CoreThread core_;
  ClientPool pool_;
};

}  // namespace

TEST_GROUP(EngineModel){};

TEST(EngineModel, CachedPrefixNeedsNoPrefill) {
  struct Case {
    const char* name;
    std::vector<std::string> prompt;
    double step_ms;
  };
  const std::vector<Case> cases = {
      {"cold", Prompt("a", 40), 10 + 40 + 1},
      {"same prompt, full blocks cached", Prompt("a", 40), 10 + 8 + 1},
      {"longer prompt", Prompt("a", 50), 10 + 18 + 1},
      {"another prompt, evicts the older blocks", Prompt("b", 64), 10 + 64 + 1},
      {"first prompt again, evicted", Prompt("a", 40), 10 + 40 + 1},
  };
  EngineModel model(ModelSettings());
  int64_t number = 0;
  for (const Case& step : cases) {
    model.Submit({++number, 0, step.prompt, 0, 1});
    DOUBLES_EQUAL_TEXT(step.step_ms, *Step(model), 0.001, step.name);
  }
  CHECK(!Step(model));
}

TEST(EngineModel, BatchIsLimitedAndPriorityGoesFirst) {
  EngineModel model(ModelSettings());
  std::vector<int64_t> started;
  const auto start = [&](int64_t number) { started.push_back(number); };
  for (const auto& [number, priority] :
       std::vector<std::pair<int64_t, int64_t>>{
           {1, 0}, {2, 0}, {3, 5}, {4, 0}}) {
    model.Submit({number, priority, {}, 0, 2});
  }
  CHECK(model.Cancel(4));
  CHECK(!model.Cancel(9));
  DOUBLES_EQUAL(12, *model.BeginStep(start), 0.001);
  CHECK(started == (std::vector<int64_t>{3, 1}));
  CHECK_EQUAL(1, model.queued());
  const auto only = [](int64_t number) { return number == 1; };
  const auto tokens = model.FinishStep(only);
  CHECK_EQUAL(1, tokens.size());
  CHECK_EQUAL(3, tokens[0].job);
  CHECK(!tokens[0].last);
}

TEST_GROUP(Engine){};

TEST(Engine, ResumedStreamContinuesIdentically) {
  Engine engine({"--decode_ms=0.1", "--min_answer_tokens=20"});
  const std::string complete = engine.Complete(R"(,"stream":true)");
  STRCMP_CONTAINS("\"finish_reason\":\"stop\"", complete.c_str());
  STRCMP_CONTAINS("\"prompt_tokens\":5", complete.c_str());
  CHECK(complete.substr(complete.size() - 14) == "data: [DONE]\n\n");
  size_t delivered = 0;
  for (int token = 0; token < 20; ++token) {
    const std::string remaining = engine.Complete(
        R"(,"stream":true,"resume_tokens":)" + std::to_string(token));
    CHECK(remaining == complete.substr(delivered));
    delivered = complete.find("\n\n", delivered) + 2;
  }
}

TEST(Engine, AnswerIsCompleteWithoutStreamAndTruncatedAtMaxTokens) {
  Engine engine({"--decode_ms=0.1", "--min_answer_tokens=20"});
  const json complete = json::parse(engine.Complete(""));
  const int64_t length = complete["usage"]["completion_tokens"];
  const Answer answer("how long does wool dry\n", 20, 64);
  CHECK_EQUAL(answer.length(), length);
  std::string expected;
  for (int64_t index = 0; index < length; ++index) {
    expected += answer.Token(index);
  }
  CHECK(complete["choices"][0]["message"]["content"] == expected);
  const json truncated = json::parse(engine.Complete(R"(,"max_tokens":3)"));
  CHECK(truncated["choices"][0]["finish_reason"] == "length");
  CHECK(truncated["usage"]["completion_tokens"] == 3);
}

TEST(Engine, RefusesMalformedRequestsAndStaleFences) {
  Engine engine({"--check_fence"});
  const struct {
    const char* target;
    const char* body;
    int status;
  } cases[] = {
      {"/v1/chat/completions", "not JSON", 400},
      {"/v1/chat/completions", R"({"messages":[1]})", 400},
      {"/unknown", "", 404},
      {"/order", R"({"order":"load","argument":"m","fence":5})", 200},
      {"/order", R"({"order":"load","argument":"n","fence":4})", 409},
      {"/order", R"({"order":"load","argument":"n","fence":5})", 200},
  };
  for (const auto& call : cases) {
    CHECK_EQUAL_TEXT(call.status, engine.Post(call.target, call.body)->status,
                     call.body);
  }
  CHECK_EQUAL(2, engine.Get("/stats")["orders"].size());
}

TEST(Engine, CancelAndFaults) {
  Engine engine({"--decode_ms=1"});
  engine.Post("/fault", R"({"fail_next":1})");
  STRCMP_CONTAINS("injected failure", engine.Complete("").c_str());
  CHECK_EQUAL(0, engine.Get("/stats")["executions"].get<int>());
  engine.Post("/fault", R"({"hang":true})");
  std::string hung_answer = "no answer yet";
  std::thread caller([&] {
    CoreThread core;
    ClientPool pool(core.runtime(), "127.0.0.1", engine.process().port());
    hung_answer = core.Call<std::string>([&] {
      ClientCall call(pool, {"POST",
                             "/v1/chat/completions",
                             {{"x-request-id", "r1"}},
                             R"({"messages":[{"content":"a"}]})"});
      const auto response = call.Perform();
      return response ? response->body : "";
    });
  });
  while (engine.Get("/load")["queued"] != 1) {
  }
  CHECK(engine.Post("/cancel/r1", "")->body == R"({"cancelled":1})");
  caller.join();
  CHECK(hung_answer.empty());
  CHECK_EQUAL(1, engine.Get("/stats")["cancelled"].get<int>());
  engine.Post("/fault", R"({"hang":false,"die_after_tokens":3})");
  CHECK(engine.Complete(R"(,"stream":true)").empty());
  CHECK_EQUAL(3, engine.process().Wait());
}
