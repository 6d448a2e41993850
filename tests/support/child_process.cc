#include "support/child_process.h"

#include <fcntl.h>
#include <signal.h>
#include <sys/wait.h>
#include <unistd.h>

#include <climits>
#include <cstdio>
#include <cstdlib>

namespace godwit::support {
namespace {

std::string ProgramPath(const std::string& program) {
  const char* directory = std::getenv("GODWIT_BIN_DIR");
  return std::string(directory == nullptr ? "out/bin" : directory) + "/" +
         program;
}

[[noreturn]] void Execute(const std::string& path,
                          const std::vector<std::string>& arguments,
                          int output,
                          int error_output) {
  std::vector<char*> argv;
  argv.push_back(const_cast<char*>(path.c_str()));
  for (const std::string& argument : arguments) {
    argv.push_back(const_cast<char*>(argument.c_str()));
  }
  argv.push_back(nullptr);
  dup2(output, STDOUT_FILENO);
  if (error_output >= 0) {
    dup2(error_output, STDERR_FILENO);
  }
  // A socket of the test that the child inherited would never appear closed to
  // its peer.
  close_range(STDERR_FILENO + 1, UINT_MAX, 0);
  execv(path.c_str(), argv.data());
  _exit(127);
}

// Reads lines until one states the port; returns 0 if the program exits first.
uint16_t ReadPort(int input) {
  std::string line;
  char byte = 0;
  while (read(input, &byte, 1) == 1) {
    if (byte != '\n') {
      line.push_back(byte);
      continue;
    }
    const size_t colon = line.rfind(':');
    if (line.rfind("listening on ", 0) == 0 && colon != std::string::npos) {
      return static_cast<uint16_t>(std::atoi(line.c_str() + colon + 1));
    }
    line.clear();
  }
  return 0;
}

}  // namespace

ChildProcess::ChildProcess(const std::string& program,
                           const std::vector<std::string>& arguments,
                           const std::string& error_file) {
  int ends[2] = {-1, -1};
  if (pipe2(ends, O_CLOEXEC) != 0) {
    return;
  }
  const std::string path = ProgramPath(program);
  const int error_output =
      error_file.empty()
          ? -1
          : open(error_file.c_str(), O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC,
                 0600);
  pid_ = fork();
  if (pid_ == 0) {
    Execute(path, arguments, ends[1], error_output);
  }
  if (error_output >= 0) {
    close(error_output);
  }
  close(ends[1]);
  port_ = ReadPort(ends[0]);
  close(ends[0]);
}

ChildProcess::~ChildProcess() {
  Signal(SIGKILL);
  Wait();
}

void ChildProcess::Signal(int signal) const {
  if (pid_ > 0) {
    kill(pid_, signal);
  }
}

int ChildProcess::Wait() {
  if (pid_ <= 0) {
    return -1;
  }
  int status = 0;
  waitpid(pid_, &status, 0);
  pid_ = -1;
  return WIFEXITED(status) ? WEXITSTATUS(status) : -1;
}

}  // namespace godwit::support
