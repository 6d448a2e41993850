#include "router.h"

#include <fcntl.h>
#include <netinet/in.h>
#include <signal.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#include <cstdio>
#include <cstdlib>
#include <fstream>
#include <sstream>
#include <utility>

#include "clock.h"
#include "connection.h"

namespace godwit::review {
namespace {

constexpr int kCouldNotRun = 2;
constexpr int kOk = 200;
constexpr int64_t kPollMs = 20;
constexpr char kDeployFile[] = "deploy/system.toml";
constexpr char kTemplate[] = "deploy/router.yaml";
constexpr char kSettingsPath[] = "/etc/godwitlatch/node.conf";
constexpr std::string_view kRun = "run = \"";

std::string ReadFile(const char* path) {
  std::ostringstream text;
  text << std::ifstream(path).rdbuf();
  return text.str();
}

// Ports are chosen below the range from which the kernel assigns them.
uint16_t FreePort(int type) {
  constexpr int first = 12'000;
  constexpr int count = 18'000;
  static int next = static_cast<int>(getpid()) * 64;
  for (;;) {
    const auto port = static_cast<uint16_t>(first + next++ % count);
    const int fd = socket(AF_INET, type | SOCK_CLOEXEC, 0);
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_port = htons(port);
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    const bool is_free =
        bind(fd, reinterpret_cast<sockaddr*>(&address), sizeof(address)) == 0;
    close(fd);
    if (is_free) {
      return port;
    }
  }
}

std::string Local(uint16_t port) {
  return "127.0.0.1:" + std::to_string(port);
}

std::string FillIn(std::string text, const Router::Fields& fields) {
  for (const auto& [name, value] : fields) {
    const std::string placeholder = "{{" + name + "}}";
    for (size_t at = text.find(placeholder); at != std::string::npos;
         at = text.find(placeholder)) {
      text.replace(at, placeholder.size(), value);
    }
  }
  return text;
}

// The words of the deploy file's command.
std::vector<std::string> Command(const std::string& settings_file) {
  const std::string deploy = ReadFile(kDeployFile);
  const size_t start = deploy.find(kRun);
  if (start == std::string::npos) {
    std::fprintf(stderr, "%s has no command\n", kDeployFile);
    std::exit(kCouldNotRun);
  }
  const size_t first = start + kRun.size();
  std::istringstream words(
      deploy.substr(first, deploy.find('"', first) - first));
  std::vector<std::string> command;
  std::string word;
  while (words >> word) {
    command.push_back(word == kSettingsPath ? settings_file : word);
  }
  return command;
}

}  // namespace

Router::Router(std::string directory,
               const std::string& name,
               const std::string& zone,
               uint16_t store_port)
    : directory_(std::move(directory)),
      name_(name),
      callers_(FreePort(SOCK_STREAM)),
      readiness_(FreePort(SOCK_STREAM)),
      settings_file_(directory_ + "/" + name + ".yaml") {
  const Fields fields = {{"nodeName", name},
                         {"zone", zone},
                         {"provider.address", Local(store_port)},
                         {"listen.front", Local(callers_)},
                         {"listen.ready", Local(readiness_)},
                         {"listen.control", Local(FreePort(SOCK_STREAM))},
                         {"ip", "127.0.0.1"},
                         {"portRange.0", std::to_string(FreePort(SOCK_DGRAM))},
                         {"bounds.graceS", "8"},
                         {"bounds.retryBudgetRatio", "0.2"},
                         {"bounds.retrySlack", "58"},
                         {"limits.maxFds", "4100"},
                         {"limits.linkMbps", "1000.0"},
                         {"limits.cpuShare", "0.19"}};
  std::ofstream(settings_file_) << FillIn(ReadFile(kTemplate), fields);
  command_ = Command(settings_file_);
}

Router::~Router() {
  if (pid_ > 0) {
    kill(pid_, SIGKILL);
    waitpid(pid_, nullptr, 0);
  }
}

void Router::Start() {
  std::vector<char*> arguments;
  for (std::string& word : command_) {
    arguments.push_back(word.data());
  }
  arguments.push_back(nullptr);
  const std::string log = directory_ + "/" + name_ + ".log";
  pid_ = fork();
  if (pid_ == 0) {
    // A router does not outlive the case that started it.
    prctl(PR_SET_PDEATHSIG, SIGKILL);
    const int output =
        open(log.c_str(), O_CREAT | O_WRONLY | O_APPEND | O_CLOEXEC, 0600);
    dup2(output, STDOUT_FILENO);
    execv(arguments.front(), arguments.data());
    _exit(kCouldNotRun);
  }
  if (pid_ < 0) {
    std::perror("can't start a router");
    std::exit(kCouldNotRun);
  }
}

void Router::Signal(int signal) const {
  if (pid_ > 0) {
    kill(pid_, signal);
  }
}

bool Router::WaitForEnd(int64_t deadline) {
  do {
    if (pid_ <= 0 || waitpid(pid_, nullptr, WNOHANG) == pid_) {
      pid_ = -1;
      return true;
    }
    SleepMs(kPollMs);
  } while (NowMs() < deadline);
  return false;
}

bool Router::IsReady() const {
  const auto connection = Connection::Open(readiness_);
  if (connection == nullptr ||
      !connection->Send("GET /api/ready HTTP/1.1\r\nHost: ready\r\n"
                        "Connection: close\r\n\r\n")) {
    return false;
  }
  constexpr int64_t timeout_ms = 1000;
  const auto answer = connection->Read(timeout_ms);
  return answer && answer->Status() == kOk;
}

bool Router::WaitUntilReady(int64_t timeout_ms) const {
  const int64_t deadline = NowMs() + timeout_ms;
  while (!IsReady()) {
    if (NowMs() >= deadline) {
      return false;
    }
    SleepMs(kPollMs);
  }
  return true;
}

}  // namespace godwit::review
