// quetzalshelfd: the daemon of an entry VM.

#include <csignal>
#include <cstdio>
#include <cstdlib>
#include <random>
#include <string>
#include <vector>

#include <asio/io_context.hpp>
#include <asio/signal_set.hpp>

#include "core/event_loop.h"
#include "core/logging.h"
#include "core/random.h"
#include "main/daemon/daemon.h"
#include "main/daemon/daemon_config.h"
#include "main/daemon/entry_node.h"
#include "platform/entry_settings.h"

namespace quetzalshelf {
namespace {

constexpr int kExitFailed = 1;
// Runs an entry node on the users' platform.
constexpr char kEntryCommand[] = "entry";
// Several times the lines of a busy leader, at about 10 us each.
constexpr int kInfoLinesPerSecond = 2'000;
constexpr char kEntrySettingsVariable[] = "QUETZALSHELF_BOOT";

// Unique among all processes ever started, since it is part of tickets and of
// the tokens of transactions.
IncarnationId NewIncarnation(const NodeId& node) {
  std::random_device device;
  const uint64_t high = device();
  const uint64_t number = (high << 32) | device();
  return IncarnationId(node.value() + "-" + std::to_string(number));
}

int RunDaemon(const DaemonConfig& config) {
  InitLogging({.format = config.log_format,
               .level = config.log_level,
               .process = config.node.value()});
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

// Runs an entry node on the users' platform. The path of its settings comes
// from the platform's environment variable.
int RunEntryNode() {
  const char* const path = std::getenv(kEntrySettingsVariable);
  if (path == nullptr) {
    std::fprintf(stderr, "%s is not set: it names the settings file\n",
                 kEntrySettingsVariable);
    return kExitBadConfig;
  }
  const absl::StatusOr<std::string> text = ReadConfigFile(path);
  if (!text.ok()) {
    std::fprintf(stderr, "%s\n", text.status().ToString().c_str());
    return kExitBadConfig;
  }
  const auto settings = platform::ParseEntrySettings(*text, path);
  if (!settings.ok()) {
    std::fprintf(stderr, "%s\n", settings.status().ToString().c_str());
    return kExitBadConfig;
  }
  InitLogging({.format = LogFormat::kJson,
               .process = settings->node.value(),
               .target = LogTarget::kStdout,
               .info_lines_per_second = kInfoLinesPerSecond});
  std::signal(SIGPIPE, SIG_IGN);
  asio::io_context io(1);
  EntryNode node(io, *settings, std::random_device()());
  if (const absl::Status status = node.Start(); !status.ok()) {
    LOG(ERROR) << "cannot start: " << status.message();
    return kExitFailed;
  }
  asio::signal_set stop_signals(io, SIGTERM, SIGINT);
  stop_signals.async_wait([&](const asio::error_code& ec, int) {
    if (!ec)
      node.Stop([&io] { io.stop(); });
  });
  // Settings are read at the start; a reload changes none of them.
  std::signal(SIGHUP, SIG_IGN);
  RunEventLoop([&io] { io.run(); }, [&node] { node.OnUnexpectedError(); });
  return kExitOk;
}

int Main(const std::vector<std::string>& args) {
  if (args.size() == 1 && args[0] == kEntryCommand)
    return RunEntryNode();
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
