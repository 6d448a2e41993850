// A router is suspended while callers send their next requests and read the
// answers that wait for them. Looks for requests at the engine that no caller
// sent.
#include <algorithm>
#include <csignal>
#include <cstdlib>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include <nlohmann/json.hpp>

#include "fleet.h"

namespace review {
namespace {

constexpr int kCallers = 60;
// What the kernels hold of an answer differs from machine to machine, so that
// the sizes cover a range.
constexpr size_t kSmallestAnswer = 600'000;
constexpr size_t kStepOfCallers = 100'000;
constexpr int kReceiveBytes = 32 * 1024;
constexpr int64_t kDeadlineMs = 15'000;
// The caller's upload holds a log of HTTP requests, in records of this size.
constexpr size_t kRecord = 256;
constexpr size_t kHead = 2 * kRecord;
constexpr size_t kUpload = 150 * kRecord;

nlohmann::json ReportConfiguration() {
  nlohmann::json config = Configuration(7, 3);
  config["routes"].push_back({{"name", "r-report"},
                              {"host", "fleet.example"},
                              {"prefix", "/report/"},
                              {"kind", "idempotent"},
                              {"timeoutMs", kDeadlineMs},
                              {"targetLatencyMs", 1000},
                              {"priority", 0},
                              {"service", "model"},
                              {"maxAttempts", 2},
                              {"public", false}});
  return config;
}

std::string RequestText(const std::string& method,
                        const std::string& id,
                        size_t answer_bytes,
                        const std::string& more) {
  return method +
         " /report/x HTTP/1.1\r\nHost: fleet.example\r\n"
         "Godwitlatch-Attempt-Id: " +
         id + "\r\nGodwitlatch-Deadline-Ms: " + std::to_string(kDeadlineMs) +
         "\r\nX-Plan: body," + std::to_string(answer_bytes) + "\r\n" + more;
}

// Pads a request to `size` bytes with a header.
std::string Padded(const std::string& text, size_t size) {
  const std::string name = "X-Note: ";
  return text + name + std::string(size - text.size() - name.size() - 4, '-') +
         "\r\n\r\n";
}

struct Caller {
  std::unique_ptr<Connection> connection;
  std::set<std::string> sent;
  std::string logged;
  size_t answer_bytes = 0;
};

int Run(bool has_trouble, const std::string& directory) {
  Record record(directory + "/record.txt");
  Store store;
  store.Put("op/config", ReportConfiguration());
  Engine engine(store, "i-0", "model");
  Router router("front-0", store.port(), directory + "/tmp");
  router.Start();
  if (!router.AwaitReady(10'000)) {
    record.Add("the router is not ready");
    return 2;
  }
  std::vector<Caller> callers(kCallers);
  for (size_t i = 0; i < callers.size(); ++i) {
    Caller& caller = callers[i];
    caller.answer_bytes = kSmallestAnswer + kStepOfCallers * i;
    caller.connection = std::make_unique<Connection>(
        Connection::Dial(router.callers(), 1000, kReceiveBytes));
    // Two requests one after the other, without waiting for the first answer.
    for (const size_t bytes : {caller.answer_bytes, size_t{100}}) {
      const std::string id = NewId();
      caller.sent.insert(id);
      caller.connection->Write(RequestText("GET", id, bytes, "\r\n"));
    }
  }
  SleepMs(1'500);
  if (has_trouble) {
    record.Add("the router is suspended");
    router.Signal(SIGSTOP);
    SleepMs(100);
  }
  for (Caller& caller : callers) {
    const std::string id = NewId();
    caller.sent.insert(id);
    caller.logged = NewId();
    std::string text = Padded(
        RequestText("POST", id, 100,
                    "Content-Length: " + std::to_string(kUpload) + "\r\n"),
        kHead);
    const std::string entry =
        Padded(RequestText("GET", caller.logged, 100, ""), kRecord);
    while (text.size() < kHead + kUpload) {
      text += entry;
    }
    caller.connection->Write(text);
    caller.connection->ReadAvailable();
  }
  if (has_trouble) {
    SleepMs(900);
    for (Caller& caller : callers) {
      caller.connection->ReadAvailable();
    }
    router.Signal(SIGCONT);
    record.Add("the router goes on");
  }
  const int64_t ends_at = NowMs() + 6'000;
  while (NowMs() < ends_at) {
    for (Caller& caller : callers) {
      caller.connection->ReadAvailable();
    }
    SleepMs(5);
  }
  int unasked = 0;
  int known = 0;
  for (const Caller& caller : callers) {
    for (const std::string& id : caller.sent) {
      known += engine.RunOf(id).started_at != 0 ? 1 : 0;
    }
    if (engine.RunOf(caller.logged).started_at != 0) {
      ++unasked;
      record.Add("UNASKED the engine ran " + caller.logged +
                 ", which stands in the body of an upload only; the answer "
                 "before it had " +
                 std::to_string(caller.answer_bytes) + " bytes");
    }
  }
  record.Add("requests that callers sent and the engine ran: " +
             std::to_string(known) + ", others: " + std::to_string(unasked));
  if (known == 0) {
    return 2;
  }
  return unasked > 0 ? 1 : 0;
}

}  // namespace
}  // namespace review

int main(int argc, char** argv) {
  if (argc != 2) {
    return 2;
  }
  const char* const trouble = std::getenv("TROUBLE");
  const bool has_trouble = trouble == nullptr || std::string(trouble) != "0";
  std::signal(SIGPIPE, SIG_IGN);
  return review::Run(has_trouble, argv[1]);
}
