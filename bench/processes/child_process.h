// A program started by a bench and ended by its id.

#ifndef BENCH_PROCESSES_CHILD_PROCESS_H_
#define BENCH_PROCESSES_CHILD_PROCESS_H_

#include <sys/types.h>

#include <optional>
#include <string>
#include <vector>

#include <absl/status/statusor.h>

namespace quetzalshelf::bench {

// Killed when the object goes away.
class ChildProcess {
 public:
  // Starts the program and waits for its line `ready HOST:PORT`. Its standard
  // error goes to `log_file`. Errors: kUnavailable when it ends before.
  static absl::StatusOr<ChildProcess> Start(
      const std::vector<std::string>& command,
      const std::string& log_file);

  // Starts the program without waiting for it. All its output goes to
  // `log_file`. Errors: kUnavailable.
  static absl::StatusOr<ChildProcess> Spawn(
      const std::vector<std::string>& command,
      const std::string& log_file);

  ChildProcess() = default;
  ~ChildProcess();
  ChildProcess(ChildProcess&& other) noexcept;
  ChildProcess& operator=(ChildProcess&& other) noexcept;
  ChildProcess(const ChildProcess&) = delete;
  ChildProcess& operator=(const ChildProcess&) = delete;

  int port() const { return port_; }
  pid_t pid() const { return pid_; }
  void Signal(int signal) const;
  // Waits for the end and gives the exit code, or -1 after a signal.
  int Wait();
  // Like Wait when the program has ended; nullopt while it runs.
  std::optional<int> Poll();

 private:
  pid_t pid_ = 0;
  int port_ = 0;
};

}  // namespace quetzalshelf::bench

#endif  // BENCH_PROCESSES_CHILD_PROCESS_H_
