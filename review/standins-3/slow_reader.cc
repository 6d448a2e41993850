// Routers are stopped in order, one after the other, while callers read large
// answers slowly. Looks for answers that the engine had made and whose end the
// callers never get, although the process ends before its time is over.
#include <algorithm>
#include <atomic>
#include <csignal>
#include <cstdlib>
#include <memory>
#include <string>
#include <thread>
#include <vector>

#include <nlohmann/json.hpp>

#include "fleet.h"

namespace review {
namespace {

constexpr int kRouters = 5;
constexpr int kRounds = 5;
constexpr int kCallersPerRouter = 3;
// What the kernels hold of an answer differs from machine to machine, so that
// the sizes cover a range.
constexpr size_t kSmallestAnswer = 5'400'000;
constexpr size_t kStepOfRouters = 56'000;
constexpr size_t kStepOfCallers = 20'000;
// A caller reads 640 KiB a second.
constexpr int kReceiveBytes = 32 * 1024;
constexpr size_t kPiece = size_t{64} * 1024;
constexpr int64_t kPieceMs = 100;
constexpr int64_t kGraceMs = 8'000;
constexpr int64_t kDeadlineMs = 15'000;
constexpr int64_t kGapMs = 1'000;
constexpr int64_t kStopAfterMs = 1'500;

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

struct Download {
  std::string id;
  int status = 0;
  size_t expected = 0;
  size_t received = 0;
  int64_t sent_at = 0;
  int64_t ended_at = 0;
};

Download Fetch(const Router& router, size_t size) {
  Download download;
  download.id = NewId();
  download.sent_at = NowMs();
  Connection connection(
      Connection::Dial(router.callers(), 1000, kReceiveBytes));
  const std::string text =
      "GET /report/x HTTP/1.1\r\nHost: fleet.example\r\n"
      "Godwitlatch-Attempt-Id: " +
      download.id +
      "\r\nGodwitlatch-Deadline-Ms: " + std::to_string(kDeadlineMs) +
      "\r\nX-Plan: body," + std::to_string(size) + "\r\n\r\n";
  const int64_t deadline = download.sent_at + kDeadlineMs;
  Message answer;
  if (connection.Write(text) && connection.ReadHead(&answer, deadline)) {
    download.status = answer.status;
    download.expected =
        std::strtoull(answer.Header("content-length").c_str(), nullptr, 10);
    std::string piece;
    while (download.received < download.expected) {
      const size_t next =
          std::min(kPiece, download.expected - download.received);
      const bool is_read = connection.ReadBytes(next, &piece, deadline);
      download.received += is_read ? next : connection.buffered();
      if (!is_read) {
        break;
      }
      SleepMs(kPieceMs);
    }
  }
  download.ended_at = NowMs();
  return download;
}

struct Counts {
  std::atomic<int> complete{0};
  std::atomic<int> lost{0};
  std::atomic<int> other{0};
};

// One round of a router: its callers send their requests, it is stopped, and
// started again once they have ended.
void Round(Router& router,
           const Engine& engine,
           size_t size,
           bool has_trouble,
           Counts& counts,
           Record& record) {
  std::vector<Download> downloads(kCallersPerRouter);
  std::vector<std::thread> callers;
  for (size_t i = 0; i < downloads.size(); ++i) {
    callers.emplace_back([&downloads, &router, size, i] {
      downloads[i] = Fetch(router, size + kStepOfCallers * i);
    });
  }
  SleepMs(kStopAfterMs);
  const int64_t stopped_at = NowMs();
  int64_t process_ended_at = 0;
  if (has_trouble) {
    record.Add("SIGTERM to " + router.name());
    router.Signal(SIGTERM);
    router.Wait(kGraceMs);
    process_ended_at = NowMs();
    record.Add(router.name() + " has ended " +
               std::to_string(process_ended_at - stopped_at) +
               " ms after its SIGTERM");
  }
  for (std::thread& caller : callers) {
    caller.join();
  }
  for (const Download& download : downloads) {
    const Engine::Run run = engine.RunOf(download.id);
    const bool is_complete =
        download.status == 200 && download.received == download.expected;
    const bool is_lost = !is_complete && has_trouble && run.is_complete &&
                         download.status == 200 &&
                         download.ended_at < download.sent_at + kDeadlineMs &&
                         download.ended_at < stopped_at + kGraceMs + 1000 &&
                         process_ended_at < stopped_at + kGraceMs * 5 / 6;
    counts.complete += is_complete ? 1 : 0;
    counts.lost += is_lost ? 1 : 0;
    counts.other += !is_complete && !is_lost ? 1 : 0;
    record.Add((is_lost ? "LOST " : "") + download.id + " to " + router.name() +
               ", sent " + std::to_string(stopped_at - download.sent_at) +
               " ms before its SIGTERM, status " +
               std::to_string(download.status) + ": " +
               std::to_string(download.received) + " of " +
               std::to_string(download.expected) + " bytes; the engine " +
               (run.is_complete ? "had made the answer " : "stopped ") +
               std::to_string(run.ended_at - stopped_at) +
               " ms after the SIGTERM; the caller saw the end of the channel " +
               std::to_string(download.ended_at - stopped_at) + " ms after it");
  }
  if (has_trouble) {
    router.Start();
    router.AwaitReady(5'000);
  }
}

int Run(bool has_trouble, const std::string& directory) {
  Record record(directory + "/record.txt");
  Store store;
  store.Put("op/config", ReportConfiguration());
  Engine engine(store, "i-0", "model");
  std::vector<std::unique_ptr<Router>> routers;
  for (int i = 0; i < kRouters; ++i) {
    routers.push_back(std::make_unique<Router>(
        "front-" + std::to_string(i), store.port(), directory + "/tmp"));
    routers.back()->Start();
  }
  for (const auto& router : routers) {
    if (!router->AwaitReady(10'000)) {
      record.Add("a router is not ready");
      return 2;
    }
  }
  record.Add("all routers are ready");
  Counts counts;
  std::vector<std::thread> rolls;
  for (size_t i = 0; i < routers.size(); ++i) {
    rolls.emplace_back([&, i] {
      SleepMs(kGapMs * static_cast<int64_t>(i));
      for (size_t round = 0; round < kRounds; ++round) {
        const size_t size =
            kSmallestAnswer + kStepOfRouters * (round * routers.size() + i);
        Round(*routers[i], engine, size, has_trouble, counts, record);
      }
    });
  }
  for (std::thread& roll : rolls) {
    roll.join();
  }
  record.Add("answers complete " + std::to_string(counts.complete) +
             ", cut off with their engine done " + std::to_string(counts.lost) +
             ", ended otherwise " + std::to_string(counts.other));
  if (counts.complete == 0 || (!has_trouble && counts.other > 0)) {
    return 2;
  }
  return counts.lost > 0 ? 1 : 0;
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
