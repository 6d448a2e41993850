#include "fleet.h"

#include <fcntl.h>
#include <sys/wait.h>
#include <unistd.h>

#include <atomic>
#include <csignal>
#include <cstdlib>
#include <map>
#include <sstream>
#include <utility>

namespace review {
namespace {

constexpr char kTemplate[] = "deploy/router.yaml";
constexpr char kProgram[] = "target/bin/godwit-edge";
constexpr int64_t kPollMs = 20;

// Fills in the template as the platform does, for the placeholders that it
// uses.
std::string FillTemplate(const std::map<std::string, std::string>& values) {
  std::ifstream file(kTemplate);
  std::stringstream content;
  content << file.rdbuf();
  const std::string text = content.str();
  std::string filled;
  size_t at = 0;
  while (true) {
    const size_t begin = text.find("{{", at);
    filled += text.substr(at, begin - at);
    if (begin == std::string::npos) {
      return filled;
    }
    const size_t end = text.find("}}", begin);
    const std::string name = text.substr(begin + 2, end - begin - 2);
    const auto found = values.find(name);
    filled += found == values.end() ? "" : found->second;
    at = end + 2;
  }
}

}  // namespace

Router::Router(const std::string& name,
               uint16_t store_port,
               const std::string& directory)
    : name_(name),
      callers_(FreePort()),
      readiness_(FreePort()),
      settings_file_(directory + "/" + name + ".yaml"),
      log_file_(directory + "/" + name + ".log") {
  const std::string ip = "127.0.0.1:";
  std::ofstream(settings_file_)
      << FillTemplate({{"nodeName", name},
                       {"zone", "zone-a"},
                       {"ip", "127.0.0.1"},
                       {"provider.address", ip + std::to_string(store_port)},
                       {"listen.front", ip + std::to_string(callers_)},
                       {"listen.ready", ip + std::to_string(readiness_)},
                       {"listen.control", ip + std::to_string(FreePort())},
                       {"portRange.0", std::to_string(FreePort())},
                       {"bounds.graceS", "8"},
                       {"bounds.retryBudgetRatio", "0.2"},
                       {"bounds.retrySlack", "58"},
                       {"bounds.budgetWindowS", "10"},
                       {"bounds.stabilityWindowMs", "3000"},
                       {"limits.memoryMb", "260"},
                       {"limits.maxFds", "4100"},
                       {"limits.linkMbps", "1000.0"},
                       {"limits.cpuShare", "0.19"}});
}

Router::~Router() {
  Signal(SIGKILL);
  Wait(1000);
}

void Router::Start() {
  pid_ = fork();
  if (pid_ != 0) {
    return;
  }
  const int log = open(log_file_.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0600);
  dup2(log, STDOUT_FILENO);
  dup2(log, STDERR_FILENO);
  execl(kProgram, kProgram, "--settings", settings_file_.c_str(), nullptr);
  _exit(127);
}

void Router::Signal(int signal) const {
  if (pid_ > 0) {
    kill(pid_, signal);
  }
}

void Router::Wait(int64_t limit_ms) {
  if (pid_ <= 0) {
    return;
  }
  const int64_t ends_at = NowMs() + limit_ms;
  while (waitpid(pid_, nullptr, WNOHANG) == 0) {
    if (NowMs() >= ends_at) {
      kill(pid_, SIGKILL);
    }
    SleepMs(kPollMs);
  }
  pid_ = -1;
}

bool Router::IsReady() const {
  constexpr int64_t limit = 1000;
  const int fd = Connection::Dial(readiness_, limit);
  if (fd < 0) {
    return false;
  }
  Connection connection(fd);
  Message answer;
  return connection.Write(
             "GET /api/ready HTTP/1.1\r\nHost: ready\r\n"
             "Connection: close\r\n\r\n") &&
         connection.ReadHead(&answer, NowMs() + limit) && answer.status == 200;
}

bool Router::AwaitReady(int64_t limit_ms) const {
  const int64_t ends_at = NowMs() + limit_ms;
  while (!IsReady()) {
    if (NowMs() >= ends_at) {
      return false;
    }
    SleepMs(kPollMs);
  }
  return true;
}

Record::Record(const std::string& file) : stream_(file) {}

void Record::Add(const std::string& line) {
  const std::lock_guard<std::mutex> lock(mutex_);
  stream_ << NowMs() - started_at_ << " ms  " << line << std::endl;
}

std::string NewId() {
  static std::atomic<uint64_t> next{static_cast<uint64_t>(NowMs()) *
                                    1'000'003U};
  char text[17];
  std::snprintf(text, sizeof(text), "%016llx",
                static_cast<unsigned long long>(++next));
  return text;
}

Attempt SendStream(Connection& connection,
                   const StreamRequest& request,
                   bool* keeps) {
  constexpr int64_t patience_ms = 1000;
  Attempt attempt;
  attempt.id = NewId();
  std::string text =
      "POST " + request.path +
      "x HTTP/1.1\r\nHost: fleet.example\r\n"
      "Godwitlatch-Attempt-Id: " +
      attempt.id + "\r\nGodwitlatch-Model: m\r\nGodwitlatch-Token-Counts: " +
      std::to_string(request.input_tokens) + "," +
      std::to_string(request.max_output_tokens) +
      "\r\nGodwitlatch-Prompt-Prefix: " + attempt.id.substr(8) + ":" +
      std::to_string(request.input_tokens) +
      "\r\nGodwitlatch-Deadline-Ms: " + std::to_string(request.deadline_ms) +
      "\r\nX-Plan: " + std::to_string(request.events) + "," +
      std::to_string(request.gap_ms) + "\r\n";
  if (!request.key.empty()) {
    text += "Authorization: Bearer " + request.key + "\r\n";
  }
  text += "Content-Length: 2\r\n\r\n{}";
  attempt.sent_at = NowMs();
  const int64_t deadline = attempt.sent_at + request.deadline_ms + patience_ms;
  Message answer;
  *keeps = false;
  if (connection.Write(text) && connection.ReadHead(&answer, deadline)) {
    attempt.status = answer.status;
    attempt.is_complete =
        connection.ReadBody(&answer, deadline, [&](const std::string& bytes) {
          size_t at = bytes.find("id: ");
          while (answer.status == 200 && at != std::string::npos) {
            ++attempt.events;
            at = bytes.find("id: ", at + 1);
          }
        });
    *keeps = attempt.is_complete && answer.Header("connection") != "close";
  }
  attempt.ended_at = NowMs();
  return attempt;
}

nlohmann::json Configuration(int64_t version, int64_t stride) {
  using nlohmann::json;
  return {{"version", version},
          {"routes", json::array({{{"name", "r-chat"},
                                   {"host", "fleet.example"},
                                   {"prefix", "/chat/"},
                                   {"kind", "streaming"},
                                   {"timeoutMs", 15000},
                                   {"targetLatencyMs", 400},
                                   {"priority", 0},
                                   {"service", "model"},
                                   {"maxAttempts", 2},
                                   {"public", false},
                                   {"sticky", true},
                                   {"resumable", true},
                                   {"gapAimMs", 250}}})},
          {"services",
           json::array({{{"name", "model"},
                         {"healthPath", "/health"},
                         {"maxConns", 1000},
                         {"protocol", "h1"},
                         {"tls", false},
                         {"engine",
                          {{"slots", 600},
                           {"kvCapacity", 10'000'000},
                           {"kvBytes", 163840},
                           {"linkMbps", 740000.0},
                           {"stride", stride},
                           {"most", 12},
                           {"models", json::array({{{"name", "m"}}})}}}}})},
          {"limits",
           {{"maxHeaderBytes", 16384},
            {"maxBodyBytes", 4194304},
            {"headerTimeoutMs", 3000},
            {"idleTimeoutMs", 15000}}}};
}

}  // namespace review
