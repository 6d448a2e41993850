#include <nlohmann/json.hpp>
#include <optional>
#include <string>

#include "core_thread.h"
#include "http/client_call.h"
#include "http/client_pool.h"
#include "support/child_process.h"

#include <CppUTest/TestHarness.h>

using godwit::http::ClientCall;
using godwit::http::ClientPool;
using godwit::http::CoreThread;
using godwit::http::Response;
using godwit::support::ChildProcess;
using nlohmann::json;

TEST_GROUP(Service) {
  std::optional<Response> Post(const std::string& target,
                               const std::string& key,
                               const std::string& body = "") {
    return core.Call<std::optional<Response>>([&] {
      ClientCall call(pool, {"POST", target, {{"idempotency-key", key}}, body});
      return call.Perform();
    });
  }

  int Executions(const std::string& key) {
    const json stats = json::parse(Post("/stats", "")->body);
    return stats["executions_by_key"].value(key, 0);
  }

  ChildProcess process{"standin-service", {}};
  CoreThread core;
  ClientPool pool{core.runtime(), "127.0.0.1", process.port()};
};

TEST(Service, CountsExecutionsOfEachKey) {
  CHECK(Post("/a/b?c", "k1")->body == R"({"executions":1,"path":"/a/b?c"})");
  CHECK(Post("/a", "k1")->body == R"({"executions":2,"path":"/a"})");
  CHECK(Post("/a", "k2")->body == R"({"executions":1,"path":"/a"})");
}

TEST(Service, FaultsOccurBeforeOrAfterExecution) {
  Post("/fault", "", R"({"fail_next":1,"close_after_execution":1})");
  CHECK_EQUAL(500, Post("/a", "k")->status);
  CHECK_EQUAL(0, Executions("k"));
  CHECK(!Post("/a", "k"));
  CHECK_EQUAL(1, Executions("k"));
  CHECK_EQUAL(200, Post("/a", "k")->status);
}
