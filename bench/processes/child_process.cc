#include "bench/processes/child_process.h"

#include <fcntl.h>
#include <signal.h>
#include <spawn.h>
#include <sys/wait.h>
#include <unistd.h>

#include <cstdio>
#include <cstdlib>
#include <utility>

extern char** environ;

namespace quetzalshelf::bench {

namespace {

// The port of the first line `ready HOST:PORT`; 0 when the output ends first.
int ReadPort(int fd) {
  FILE* file = fdopen(fd, "r");
  if (file == nullptr)
    return 0;
  char buf[256];
  int port = 0;
  while (port == 0 && std::fgets(buf, sizeof buf, file) != nullptr) {
    const std::string line = buf;
    if (line.starts_with("ready "))
      port = std::atoi(line.substr(line.rfind(':') + 1).c_str());
  }
  std::fclose(file);
  return port;
}

std::vector<char*> ToArgv(const std::vector<std::string>& command) {
  std::vector<char*> argv;
  argv.reserve(command.size() + 1);
  for (const std::string& it : command)
    argv.push_back(const_cast<char*>(it.c_str()));
  argv.push_back(nullptr);
  return argv;
}

// A connection stays open while any process holds it, so that peers of the
// parent would not see it closed or reset.
void CloseOthers(posix_spawn_file_actions_t& actions) {
  posix_spawn_file_actions_addclosefrom_np(&actions, STDERR_FILENO + 1);
}

}  // namespace

absl::StatusOr<ChildProcess> ChildProcess::Start(
    const std::vector<std::string>& command,
    const std::string& log_file) {
  int out[2];
  if (pipe2(out, O_CLOEXEC) != 0)
    return absl::UnavailableError("no pipe for the output of a program");
  posix_spawn_file_actions_t actions;
  posix_spawn_file_actions_init(&actions);
  posix_spawn_file_actions_adddup2(&actions, out[1], STDOUT_FILENO);
  posix_spawn_file_actions_addopen(&actions, STDERR_FILENO, log_file.c_str(),
                                   O_WRONLY | O_CREAT | O_APPEND, 0644);
  CloseOthers(actions);
  ChildProcess child;
  const int error = posix_spawn(&child.pid_, command[0].c_str(), &actions,
                                nullptr, ToArgv(command).data(), environ);
  posix_spawn_file_actions_destroy(&actions);
  close(out[1]);
  if (error != 0) {
    close(out[0]);
    child.pid_ = 0;
    return absl::UnavailableError(command[0] + " cannot be started");
  }
  child.port_ = ReadPort(out[0]);
  if (child.port_ == 0) {
    return absl::UnavailableError(command[0] + " ended before it was ready; " +
                                  "see " + log_file);
  }
  return child;
}

absl::StatusOr<ChildProcess> ChildProcess::Spawn(
    const std::vector<std::string>& command,
    const std::string& log_file) {
  posix_spawn_file_actions_t actions;
  posix_spawn_file_actions_init(&actions);
  posix_spawn_file_actions_addopen(&actions, STDOUT_FILENO, log_file.c_str(),
                                   O_WRONLY | O_CREAT | O_APPEND, 0644);
  posix_spawn_file_actions_adddup2(&actions, STDOUT_FILENO, STDERR_FILENO);
  CloseOthers(actions);
  ChildProcess child;
  const int error = posix_spawn(&child.pid_, command[0].c_str(), &actions,
                                nullptr, ToArgv(command).data(), environ);
  posix_spawn_file_actions_destroy(&actions);
  if (error != 0) {
    child.pid_ = 0;
    return absl::UnavailableError(command[0] + " cannot be started");
  }
  return child;
}

ChildProcess::~ChildProcess() {
  if (pid_ == 0)
    return;
  Signal(SIGCONT);
  Signal(SIGKILL);
  Wait();
}

ChildProcess::ChildProcess(ChildProcess&& other) noexcept
    : pid_(std::exchange(other.pid_, 0)), port_(other.port_) {}

ChildProcess& ChildProcess::operator=(ChildProcess&& other) noexcept {
  std::swap(pid_, other.pid_);
  std::swap(port_, other.port_);
  return *this;
}

void ChildProcess::Signal(int signal) const {
  if (pid_ != 0)
    kill(pid_, signal);
}

int ChildProcess::Wait() {
  if (pid_ == 0)
    return -1;
  int status = 0;
  waitpid(pid_, &status, 0);
  pid_ = 0;
  return WIFEXITED(status) ? WEXITSTATUS(status) : -1;
}

std::optional<int> ChildProcess::Poll() {
  int status = 0;
  if (pid_ == 0 || waitpid(pid_, &status, WNOHANG) != pid_)
    return std::nullopt;
  pid_ = 0;
  return WIFEXITED(status) ? WEXITSTATUS(status) : -1;
}

}  // namespace quetzalshelf::bench
