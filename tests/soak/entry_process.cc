#include "tests/soak/entry_process.h"

#include <csignal>
#include <filesystem>
#include <fstream>
#include <system_error>
#include <utility>

namespace quetzalshelf::soak {

namespace {

constexpr int kCallerPort = 7001;
constexpr int kReadinessPort = 7002;
constexpr int kMetricsPort = 7003;
constexpr Duration kStopGrace{6'000};
// A process that is still there this long after SIGTERM hangs. Several times
// the grace, for slow machines.
constexpr Duration kHangLimit{30'000};

}  // namespace

EntryProcess::EntryProcess(asio::io_context& io, EntryProcessOptions options)
    : options_(std::move(options)),
      caller_proxy_(io, options_.host, kCallerPort),
      store_proxy_(io, "127.0.0.1", options_.store_port) {
  store_proxy_.faults().answer_bytes_per_second =
      options_.link_bytes_per_second;
}

absl::Status EntryProcess::Start() {
  for (FaultProxy* const it : {&caller_proxy_, &store_proxy_}) {
    if (absl::Status status = it->Start(); !status.ok())
      return status;
  }
  if (absl::Status status = WriteSettings(); !status.ok())
    return status;
  return Spawn();
}

absl::Status EntryProcess::WriteSettings() const {
  std::ofstream file(options_.work_dir + "/" + options_.name + ".yaml");
  const auto address = [&](int port) {
    return "\"" + options_.host + ":" + std::to_string(port) + "\"\n";
  };
  file << "node:\n  id: \"" << options_.name << "\"\n  failure_domain: \""
       << options_.domain << "\"\nlisten:\n  callers: " << address(kCallerPort)
       << "  readiness: " << address(kReadinessPort)
       << "  metrics_port: " << kMetricsPort
       << "\nstore:\n  address: \"127.0.0.1:" << store_proxy_.port()
       << "\"\nlimits:\n  max_descriptors: 1024\n  cpu_share: "
       << options_.cpu_share << "\n"
       << "  stop_grace_s: " << kStopGrace.count() / 1'000
       << "\n  revoke_ms: 5000\n";
  if (options_.memory_mb > 0)
    file << "  memory_mb: " << options_.memory_mb << "\n";
  return file.good() ? absl::OkStatus()
                     : absl::UnavailableError("settings cannot be written to " +
                                              options_.work_dir);
}

uintmax_t EntryProcess::LogSize() const {
  std::error_code ec;
  const uintmax_t size = std::filesystem::file_size(
      options_.work_dir + "/" + options_.name + ".log", ec);
  return ec ? 0 : size;
}

absl::Status EntryProcess::Spawn() {
  const std::string base = options_.work_dir + "/" + options_.name;
  log_size_ = LogSize();
  auto child = bench::ChildProcess::Spawn(
      {"/usr/bin/env", "QUETZALSHELF_BOOT=" + base + ".yaml", options_.daemon,
       "entry"},
      base + ".log");
  if (!child.ok())
    return child.status();
  process_ = *std::move(child);
  running_ = true;
  start_at_.reset();
  terminated_at_.reset();
  return absl::OkStatus();
}

void EntryProcess::Kill(TimePoint now, Duration after) {
  if (!running_)
    return;
  process_.Signal(SIGKILL);
  process_.Wait();
  running_ = false;
  start_at_ = now + after;
}

void EntryProcess::Terminate(TimePoint now) {
  if (!running_ || terminated_at_)
    return;
  process_.Signal(SIGTERM);
  terminated_at_ = now;
}

void EntryProcess::Pause() {
  process_.Signal(SIGSTOP);
}

void EntryProcess::Resume() {
  process_.Signal(SIGCONT);
}

void EntryProcess::Reload() {
  process_.Signal(SIGHUP);
}

std::string EntryProcess::Tick(TimePoint now) {
  if (!running_) {
    if (start_at_ && now >= *start_at_) {
      if (absl::Status status = Spawn(); !status.ok())
        return std::string(status.message());
    }
    return "";
  }
  const std::optional<int> code = process_.Poll();
  if (!code) {
    if (terminated_at_ && now - *terminated_at_ > kHangLimit) {
      Kill(now, Duration(0));
      return options_.name + " did not stop after SIGTERM";
    }
    return "";
  }
  running_ = false;
  start_at_ = now;
  if (!terminated_at_)
    return options_.name + " ended without being asked";
  // The signal ends a program that has not come to install its handler.
  const bool had_started = LogSize() > log_size_;
  if (*code == 0 || !had_started)
    return "";
  return options_.name + " stopped with exit code " + std::to_string(*code);
}

}  // namespace quetzalshelf::soak
