#include "process.h"

#include <fcntl.h>
#include <signal.h>
#include <spawn.h>
#include <sys/wait.h>
#include <unistd.h>

#include <chrono>
#include <thread>

namespace godwit::review {
namespace {

constexpr int kPollMs = 10;
constexpr int kKillTimeoutMs = 5000;
constexpr mode_t kFileMode = 0600;

}  // namespace

Process::Process(const std::vector<std::string>& command,
                 const std::string& output_file) {
  std::vector<std::string> words = command;
  std::vector<char*> arguments;
  arguments.reserve(words.size() + 1);
  for (std::string& word : words) {
    arguments.push_back(word.data());
  }
  arguments.push_back(nullptr);
  posix_spawn_file_actions_t actions;
  posix_spawn_file_actions_init(&actions);
  posix_spawn_file_actions_addopen(&actions, STDOUT_FILENO, output_file.c_str(),
                                   O_CREAT | O_WRONLY | O_APPEND, kFileMode);
  posix_spawn_file_actions_adddup2(&actions, STDOUT_FILENO, STDERR_FILENO);
  if (posix_spawn(&pid_, arguments[0], &actions, nullptr, arguments.data(),
                  environ) != 0) {
    pid_ = -1;
  }
  posix_spawn_file_actions_destroy(&actions);
}

Process::~Process() {
  Signal(SIGKILL);
  Wait(kKillTimeoutMs);
}

void Process::Signal(int signal) const {
  if (pid_ > 0) {
    kill(pid_, signal);
  }
}

bool Process::Wait(int timeout_ms) {
  for (int waited = 0; pid_ > 0; waited += kPollMs) {
    if (waitpid(pid_, nullptr, WNOHANG) == pid_) {
      pid_ = -1;
      return true;
    }
    if (waited >= timeout_ms) {
      return false;
    }
    std::this_thread::sleep_for(std::chrono::milliseconds(kPollMs));
  }
  return true;
}

}  // namespace godwit::review
