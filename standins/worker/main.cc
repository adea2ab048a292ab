#include <cstdlib>
#include <memory>
#include <random>
#include <string>

#include "core/logging.h"
#include "drivers/clock/system_clock.h"
#include "standins/common/standin_process.h"
#include "standins/worker/worker_service.h"

namespace quetzalshelf {
namespace {

// Values of the flags.
struct Flags {
  std::string name = "worker";
  std::string incarnation;
  int64_t accelerators = 8;
  int64_t cpu_milli = 64'000;
  int64_t memory_mib = 131'072;
  int64_t checkpoint_ms = 500;
  int64_t default_run_ms = 60'000;
  int64_t usage_lag_ms = 2'000;
};

void AddFlags(CLI::App& app, Flags& flags) {
  const auto number = [&app](const char* flag, int64_t& value,
                             const char* help) {
    app.add_option(flag, value, help)->check(CLI::NonNegativeNumber);
  };
  app.add_option("--name", flags.name, "Name of the worker");
  app.add_option("--incarnation", flags.incarnation,
                 "Incarnation; random when left out");
  number("--accelerators", flags.accelerators, "Accelerators");
  number("--cpu-milli", flags.cpu_milli, "Thousandths of a core");
  number("--memory-mib", flags.memory_mib, "Memory in MiB");
  number("--checkpoint-ms", flags.checkpoint_ms,
         "Time that a checkpoint takes");
  number("--default-run-ms", flags.default_run_ms,
         "Run time of tasks that do not declare one");
  number("--usage-lag-ms", flags.usage_lag_ms, "Lag of usage reports");
}

std::string RandomIncarnation() {
  std::random_device device;
  return std::to_string(device()) + "-" + std::to_string(device());
}

WorkerModelOptions ToOptions(const Flags& flags) {
  WorkerModelOptions options;
  options.worker = WorkerId(flags.name);
  options.incarnation = IncarnationId(
      flags.incarnation.empty() ? RandomIncarnation() : flags.incarnation);
  options.capacity = {Accelerators(flags.accelerators),
                      MilliCores(flags.cpu_milli), Mebibytes(flags.memory_mib)};
  options.checkpoint_time = Duration(flags.checkpoint_ms);
  options.default_run_time = Duration(flags.default_run_ms);
  options.usage_lag = Duration(flags.usage_lag_ms);
  return options;
}

void Vanish() {
  LOG(WARNING) << "exits at once, as told by /control/faults";
  std::_Exit(kExitOk);
}

int Main(int argc, char** argv) {
  StandinProcess process("quetzalshelf-worker", "Stand-in for a worker");
  Flags flags;
  AddFlags(process.app(), flags);
  const SystemClock clock;
  std::unique_ptr<WorkerService> service;
  const auto set_up = [&](HttpServer& server) {
    service = std::make_unique<WorkerService>(ToOptions(flags), clock, &Vanish);
    service->Install(server);
    return absl::OkStatus();
  };
  return process.Run(argc, argv, {set_up, [&] { service->Leave(); }});
}

}  // namespace
}  // namespace quetzalshelf

int main(int argc, char** argv) {
  return quetzalshelf::Main(argc, argv);
}
