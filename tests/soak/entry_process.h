// An entry node as a process of its own, behind proxies.

#ifndef TESTS_SOAK_ENTRY_PROCESS_H_
#define TESTS_SOAK_ENTRY_PROCESS_H_

#include <cstdint>
#include <memory>
#include <optional>
#include <string>

#include <absl/status/status.h>
#include <asio/io_context.hpp>

#include "bench/processes/child_process.h"
#include "core/time.h"
#include "standins/proxy/fault_proxy.h"

namespace quetzalshelf::soak {

struct EntryProcessOptions {
  std::string daemon;    // Path of the program.
  std::string work_dir;  // For the settings and the log; must exist.
  std::string name;
  std::string domain;
  std::string host;  // A loopback address of this node alone.
  int store_port = 0;
  double cpu_share = 0.5;             // As told to the node; not enforced.
  int64_t link_bytes_per_second = 0;  // From the store; 0: no limit.
  int memory_mb = 0;                  // As told to the node; 0: not told.
};

// Each signal has its effect on the process of that moment, if there is one.
class EntryProcess {
 public:
  EntryProcess(asio::io_context& io, EntryProcessOptions options);

  // Listens for callers and starts the process. Errors: kUnavailable.
  absl::Status Start();
  // Ends it at once; it is started again `after` that.
  void Kill(TimePoint now, Duration after);
  // Asks it to stop; it is started again when it has.
  void Terminate(TimePoint now);
  void Pause();
  void Resume();
  void Reload();

  // Starts processes again that are due. Returns what went wrong with the
  // process since the last call; empty when nothing did.
  std::string Tick(TimePoint now);

  // Whether it runs and has not been asked to stop.
  bool is_up() const { return running_ && !terminated_at_; }
  pid_t pid() const { return process_.pid(); }
  const std::string& name() const { return options_.name; }
  int caller_port() const { return caller_proxy_.port(); }
  FaultProxy& caller_proxy() { return caller_proxy_; }
  FaultProxy& store_proxy() { return store_proxy_; }

 private:
  absl::Status WriteSettings() const;
  absl::Status Spawn();
  uintmax_t LogSize() const;

  const EntryProcessOptions options_;
  FaultProxy caller_proxy_;
  FaultProxy store_proxy_;
  bench::ChildProcess process_;
  bool running_ = false;
  uintmax_t log_size_ = 0;  // When the process was started.
  std::optional<TimePoint> start_at_;
  std::optional<TimePoint> terminated_at_;
};

}  // namespace quetzalshelf::soak

#endif  // TESTS_SOAK_ENTRY_PROCESS_H_
