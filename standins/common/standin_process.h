// Flags, set-up and graceful stop common to the stand-in programs.

#ifndef STANDINS_COMMON_STANDIN_PROCESS_H_
#define STANDINS_COMMON_STANDIN_PROCESS_H_

#include <cstdint>
#include <functional>
#include <string>

#include <absl/status/status.h>
#include <CLI/CLI.hpp>
#include <asio/io_context.hpp>

#include "core/metrics.h"
#include "drivers/http/asio_task_runner.h"
#include "drivers/http/http_server.h"

namespace quetzalshelf {

// Exit codes of the stand-in programs.
constexpr int kExitOk = 0;
constexpr int kExitFailed = 1;
constexpr int kExitBadInput = 2;

// Runs one HTTP server until SIGTERM or SIGINT, then stops it gracefully.
class StandinProcess {
 public:
  StandinProcess(std::string name, const std::string& description);

  // For flags of the program itself.
  CLI::App& app() { return app_; }
  // What the set-up function works with.
  asio::io_context& io() { return io_; }
  TaskRunner& runner() { return runner_; }
  MetricsRegistry& metrics() { return metrics_; }

  // `set_up` registers handlers; `leaving` runs before the server stops.
  struct Hooks {
    std::function<absl::Status(HttpServer&)> set_up;
    std::function<void()> leaving;
  };
  // Parses the flags, serves, and returns the exit code.
  int Run(int argc, const char* const* argv, const Hooks& hooks);

 private:
  int Serve(const Hooks& hooks);

  const std::string name_;
  CLI::App app_;
  HttpServerOptions options_;
  int64_t grace_ms_ = 0;
  std::string log_format_ = "text";
  std::string log_level_ = "info";
  asio::io_context io_;
  AsioTaskRunner runner_{io_};
  MetricsRegistry metrics_;
};

}  // namespace quetzalshelf

#endif  // STANDINS_COMMON_STANDIN_PROCESS_H_
