#include "model_engine.h"

#include <cstdio>

#include "answer_head.h"
#include "clock.h"
#include "connection.h"
#include "prepaid_load.h"
#include "trial.h"

namespace godwit::review {
namespace {

constexpr int64_t kPollMs = 50;
// Time to the first event, and between events.
constexpr int64_t kMinFirstEventMs = 120;
constexpr int64_t kMaxFirstEventMs = 300;
constexpr int64_t kEventGapMs = 8;
// One way between two zones.
constexpr int64_t kDelayMs = 1;

std::string Chunk(const std::string& bytes) {
  char size[32];
  std::snprintf(size, sizeof(size), "%zx\r\n", bytes.size());
  return size + bytes + "\r\n";
}

}  // namespace

ModelEngine::ModelEngine(Trial& trial, size_t number, bool drops_closed)
    : trial_(trial),
      instance_("i-" + std::to_string(number + 1)),
      drops_closed_(drops_closed),
      random_(static_cast<unsigned>(number)),
      server_([this](Connection& connection) { Serve(connection); }) {}

std::set<std::string> ModelEngine::Runs() {
  const std::lock_guard<std::mutex> lock(mutex_);
  return runs_;
}

void ModelEngine::Serve(Connection& connection) {
  while (!server_.stopping()) {
    const auto request = connection.Read(kPollMs);
    if (!request) {
      if (connection.IsClosedByPeer(0)) {
        return;
      }
      continue;
    }
    if (!Answer(connection, request->Header("godwitlatch-attempt-id"))) {
      return;
    }
  }
}

bool ModelEngine::Answer(Connection& connection, const std::string& id) {
  const int64_t first_event_at = NowMs() + kDelayMs + FirstEventMs();
  // The close of a connection arrives after the delay of the link, too.
  const bool is_closed =
      connection.IsClosedByPeer(first_event_at - kDelayMs - NowMs());
  if (is_closed && drops_closed_) {
    trial_.Record(instance_ + " drops " + id + ", whose connection closed");
    return false;
  }
  SleepUntilMs(first_event_at);
  {
    const std::lock_guard<std::mutex> lock(mutex_);
    runs_.insert(id);
  }
  trial_.Record(instance_ + " runs " + id +
                (is_closed ? ", whose connection closed" : ""));
  SleepMs(kDelayMs);
  std::string bytes =
      AnswerHead("200 OK", id,
                 {SealLine(id), "Content-Type: text/event-stream",
                  "Transfer-Encoding: chunked"});
  for (int64_t event = 1; event <= PrepaidLoad::kEvents; ++event) {
    bytes += Chunk("id: " + std::to_string(event) + "\ndata: words\n\n");
    if (connection.IsClosedByPeer(0) || !connection.Send(bytes)) {
      return false;
    }
    bytes.clear();
    SleepMs(kEventGapMs);
  }
  return connection.Send("0\r\n\r\n");
}

int64_t ModelEngine::FirstEventMs() {
  const std::lock_guard<std::mutex> lock(mutex_);
  return std::uniform_int_distribution<int64_t>(kMinFirstEventMs,
                                                kMaxFirstEventMs)(random_);
}

}  // namespace godwit::review
