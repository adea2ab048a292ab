#include "entry.hpp"

#include <fcntl.h>
#include <signal.h>
#include <sys/prctl.h>
#include <sys/wait.h>
#include <unistd.h>

#include <fstream>
#include <iterator>
#include <map>
#include <sstream>
#include <stdexcept>
#include <utility>
#include <vector>

#include "http.hpp"

namespace review {

namespace {

std::string ReadFile(const std::string& path) {
  std::ifstream file(path);
  if (!file)
    throw std::runtime_error("cannot read " + path);
  return {std::istreambuf_iterator<char>(file), {}};
}

// The value of `name = "VALUE"` in the deploy file.
std::string DeployValue(const std::string& deploy, const std::string& name) {
  std::istringstream in(deploy);
  std::string line;
  while (std::getline(in, line)) {
    if (line.starts_with(name + " = \""))
      return line.substr(name.size() + 4, line.rfind('"') - name.size() - 4);
  }
  throw std::runtime_error("the deploy file has no " + name);
}

}  // namespace

Entry::Entry(Record& record, EntryOptions options)
    : record_(record),
      options_(std::move(options)),
      callers_port_(FindFreePort()),
      readiness_port_(FindFreePort()),
      metrics_port_(FindFreePort()) {
  WriteSettings();
}

Entry::~Entry() {
  if (pid_ <= 0)
    return;
  kill(pid_, SIGCONT);
  kill(pid_, SIGKILL);
  Reap();
}

void Entry::WriteSettings() const {
  const std::string deploy = ReadFile(options_.root + "/deploy/system.toml");
  std::string text =
      ReadFile(options_.root + "/" + DeployValue(deploy, "template"));
  const auto address = [](int port) {
    return "127.0.0.1:" + std::to_string(port);
  };
  const std::map<std::string, std::string> fields = {
      {"node_name", options_.name},
      {"zone", options_.zone},
      {"listen.frontend", address(callers_port_)},
      {"listen.readiness", address(readiness_port_)},
      {"port_range.0", std::to_string(metrics_port_)},
      {"platform.addr", address(options_.store_port)},
      {"limits.max_fds", "4100"},
      {"limits.memory_mb", "260"},
      {"limits.cpu_share", "0.25"},
      {"bounds.grace_s", "6"},
      {"bounds.revoke_ms", "5000"}};
  for (const auto& [name, value] : fields) {
    const std::string placeholder = "{{" + name + "}}";
    for (size_t at = text.find(placeholder); at != std::string::npos;
         at = text.find(placeholder))
      text.replace(at, placeholder.size(), value);
  }
  std::ofstream(options_.work_dir + "/" + options_.name + ".settings") << text;
}

void Entry::Start() {
  const std::string base = options_.work_dir + "/" + options_.name;
  std::istringstream run(
      DeployValue(ReadFile(options_.root + "/deploy/system.toml"), "run"));
  std::vector<std::string> words{std::istream_iterator<std::string>(run), {}};
  std::string boot = "QUETZALSHELF_BOOT=" + base + ".settings";
  std::vector<char*> args;
  for (std::string& it : words)
    args.push_back(it.data());
  args.push_back(nullptr);
  char* env[] = {boot.data(), nullptr};
  const pid_t pid = fork();
  if (pid < 0)
    throw std::runtime_error("cannot fork");
  if (pid == 0) {
    prctl(PR_SET_PDEATHSIG, SIGKILL);
    const int log =
        open((base + ".log").c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
    dup2(log, STDOUT_FILENO);
    dup2(log, STDERR_FILENO);
    for (int fd = 3; fd < 1'024; ++fd)
      close(fd);
    if (chdir(options_.root.c_str()) == 0)
      execve(args[0], args.data(), env);
    _exit(127);
  }
  pid_ = pid;
  record_.Line("node " + name() + " is started");
}

void Entry::Signal(int signal) {
  record_.Line("node " + name() + " gets signal " + std::to_string(signal));
  kill(pid_, signal);
}

void Entry::Reap() {
  if (pid_ <= 0)
    return;
  int status = 0;
  waitpid(pid_, &status, 0);
  pid_ = 0;
}

}  // namespace review
