#include "caller.h"

#include <algorithm>
#include <chrono>
#include <cstdlib>
#include <utility>

#include "deployment.h"
#include "fleet.h"
#include "http.h"
#include "socket.h"

namespace godwit::review {
namespace {

constexpr int kPollMs = 20;
constexpr int kConnectPauseMs = 200;
constexpr double kMillisPerSecond = 1000;
// Callers honour a Retry-After up to a third of the time that they have left.
constexpr int64_t kMaxRetryAfterMs = kDeadlineMs / 3;
constexpr int kOk = 200;
constexpr int kBroken = -1;
constexpr char kBody[] = "{}";

std::string RequestText(const std::string& id, const Caller::Options& options) {
  const std::string prompt =
      "Godwitlatch-Model: m\r\nGodwitlatch-Token-Counts: " +
      std::to_string(kInputTokens) + "," + std::to_string(kMaxOutputTokens) +
      "\r\nGodwitlatch-Prompt-Prefix: 5c1e07a2:" +
      std::to_string(kInputTokens) + "\r\n";
  return "POST " + std::string(options.sends_prompts ? kChatPath : kDeskPath) +
         "1 HTTP/1.1\r\nHost: kiosk.example\r\nGodwitlatch-Attempt-Id: " + id +
         "\r\n" + (options.sends_prompts ? prompt : "") +
         "Godwitlatch-Deadline-Ms: " +
         std::to_string(options.sends_prompts ? kDeadlineMs : kDeskDeadlineMs) +
         "\r\nAuthorization: Bearer " + Fleet::KeyOf(options.tenant) +
         "\r\nContent-Length: " + std::to_string(sizeof(kBody) - 1) +
         "\r\n\r\n" + kBody;
}

}  // namespace

Caller::Caller(Options options, Record& record)
    : options_(std::move(options)),
      record_(record),
      thread_([this] { Run(); }) {}

Caller::~Caller() {
  is_stopping_ = true;
  thread_.join();
}

void Caller::Sleep(int64_t ms) const {
  for (int64_t slept = 0; slept < ms && !is_stopping_; slept += kPollMs) {
    std::this_thread::sleep_for(std::chrono::milliseconds(kPollMs));
  }
}

void Caller::Run() {
  Socket connection;
  std::string received;
  for (int64_t sent = 0; !is_stopping_;) {
    // A channel that the router has closed is not used again.
    if (!connection.is_open() || connection.IsReadable(0)) {
      received.clear();
      connection = Socket::Connect(options_.port());
      if (!connection.is_open()) {
        Sleep(kConnectPauseMs);
        continue;
      }
    }
    const int64_t begun_at = record_.now_ms();
    const std::string id = options_.name + "-" + std::to_string(++sent);
    Record::Request request;
    request.tenant = options_.tenant;
    if (options_.sends_prompts) {
      request.input_tokens = kInputTokens;
      request.max_output_tokens = kMaxOutputTokens;
    }
    record_.OnSent(id, request);
    connection.Send(RequestText(id, options_));
    const Answer answer =
        ReadAnswer(connection, &received, static_cast<int>(kDeadlineMs));
    const int64_t delivered = answer.status == kOk && options_.sends_prompts
                                  ? EventsIn(answer.body) * kTokensPerEvent
                                  : 0;
    record_.OnAnswered(id, answer.is_complete ? answer.status : kBroken,
                       delivered);
    if (!answer.is_complete || HeaderIn(answer.head, "Connection") == "close") {
      connection.Close();
    }
    const double retry_after =
        std::atof(HeaderIn(answer.head, "Retry-After").c_str());
    const int64_t wait = std::min(
        kMaxRetryAfterMs, static_cast<int64_t>(retry_after * kMillisPerSecond));
    Sleep(std::max(wait, options_.interval_ms - (record_.now_ms() - begun_at)));
  }
}

}  // namespace godwit::review
