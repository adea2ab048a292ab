// quetzalshelfd: the daemon of an entry VM.

#include <cstdio>
#include <random>
#include <string>
#include <vector>

#include <asio/io_context.hpp>
#include <asio/signal_set.hpp>

#include "core/logging.h"
#include "core/random.h"
#include "main/daemon/daemon.h"
#include "main/daemon/daemon_config.h"

namespace quetzalshelf {
namespace {

constexpr int kExitFailed = 1;

// Unique among all processes ever started, since it is part of tickets and of
// the tokens of transactions.
IncarnationId NewIncarnation(const NodeId& node) {
  std::random_device device;
  const uint64_t high = device();
  const uint64_t number = (high << 32) | device();
  return IncarnationId(node.value() + "-" + std::to_string(number));
}

int RunDaemon(const DaemonConfig& config) {
  InitLogging({config.log_format, config.log_level, config.node.value()});
  asio::io_context io;
  Daemon daemon(io, config, NewIncarnation(config.node));
  if (const absl::Status status = daemon.Start(); !status.ok()) {
    LOG(ERROR) << "cannot start: " << status.message();
    return kExitFailed;
  }
  std::printf("ready %s:%d\n", config.listen.host.c_str(), daemon.port());
  std::fflush(stdout);
  asio::signal_set signals(io, SIGTERM, SIGINT);
  signals.async_wait([&](const asio::error_code& ec, int) {
    if (!ec)
      daemon.Stop([&io] { io.stop(); });
  });
  io.run();
  return kExitOk;
}

int Main(const std::vector<std::string>& args) {
  const DaemonCommandLine line = ParseDaemonCommandLine(args, ReadConfigFile);
  std::fputs(line.output.c_str(), stdout);
  std::fputs(line.errors.c_str(), stderr);
  if (!line.config)
    return line.exit_code;
  return RunDaemon(*line.config);
}

}  // namespace
}  // namespace quetzalshelf

int main(int argc, char** argv) {
  return quetzalshelf::Main(std::vector<std::string>(argv + 1, argv + argc));
}
