// Measures the cost of the decision core against the number of workers.

#include <cstdio>
#include <iostream>
#include <string>
#include <vector>

#include <CLI/CLI.hpp>
#include <nlohmann/json.hpp>

#include "bench/capacity_probe.h"
#include "bench/main/allocated_bytes.h"

namespace quetzalshelf::bench {
namespace {

struct Options {
  uint64_t seed = 1;
  std::vector<int> workers = {1'000, 2'000, 4'000, 8'000, 11'000};
  std::string scheduler = "shape";
  bool json = false;
};

nlohmann::ordered_json ToJson(const CapacityResult& it) {
  const auto latency = [](const Latency& value) {
    return nlohmann::ordered_json{{"p50_ms", value.p50_ms},
                                  {"p99_ms", value.p99_ms},
                                  {"samples", value.samples}};
  };
  return {{"workers", it.workers},
          {"busy", it.busy},
          {"tasks_running", it.tasks_running},
          {"jobs_running", it.jobs_running},
          {"placement_gang_1024", latency(it.gang_of_1024)},
          {"placement_gang_8", latency(it.gang_of_8)},
          {"not_placed", it.not_placed},
          {"cpu_us_per_event", it.cpu_us_per_event},
          {"bytes_per_worker", it.bytes_per_worker},
          {"bytes_per_task", it.bytes_per_task},
          {"bytes_per_job", it.bytes_per_job}};
}

// Growth for each 1,000 workers.
nlohmann::ordered_json Slopes(const std::vector<CapacityResult>& results) {
  std::vector<double> thousands;
  thousands.reserve(results.size());
  for (const CapacityResult& it : results) {
    thousands.push_back(it.workers / 1e3);
  }
  const auto slope = [&](auto value) {
    std::vector<double> values;
    values.reserve(results.size());
    for (const CapacityResult& it : results) {
      values.push_back(value(it));
    }
    return Slope(thousands, values);
  };
  using R = const CapacityResult&;
  return {
      {"gang_1024_p50_ms", slope([](R it) { return it.gang_of_1024.p50_ms; })},
      {"gang_1024_p99_ms", slope([](R it) { return it.gang_of_1024.p99_ms; })},
      {"gang_8_p50_ms", slope([](R it) { return it.gang_of_8.p50_ms; })},
      {"gang_8_p99_ms", slope([](R it) { return it.gang_of_8.p99_ms; })},
      {"cpu_us_per_event", slope([](R it) { return it.cpu_us_per_event; })}};
}

void PrintHeader() {
  std::printf("%8s %6s %9s %22s %22s %10s %9s %9s %9s %8s\n", "workers", "busy",
              "tasks", "gang 1024 p50/p99 ms", "gang 8 p50/p99 ms", "us/event",
              "B/worker", "B/task", "B/job", "unplaced");
}

void PrintRow(const CapacityResult& it) {
  std::printf(
      "%8d %6.2f %9lld %11.3f %10.3f %11.4f %10.4f %10.2f %9.0f %9.0f %9.0f "
      "%8lld\n",
      it.workers, it.busy, static_cast<long long>(it.tasks_running),
      it.gang_of_1024.p50_ms, it.gang_of_1024.p99_ms, it.gang_of_8.p50_ms,
      it.gang_of_8.p99_ms, it.cpu_us_per_event, it.bytes_per_worker,
      it.bytes_per_task, it.bytes_per_job,
      static_cast<long long>(it.not_placed));
}

int Run(const Options& options) {
  const SchedulerKind kind = options.scheduler == "naive"
                                 ? SchedulerKind::kNaive
                                 : SchedulerKind::kShape;
  const AllocatedBytes allocated = &AllocatedBytesNow;
  std::vector<CapacityResult> results;
  if (!options.json) {
    PrintHeader();
  }
  for (const int workers : options.workers) {
    results.push_back(ProbeCapacity(kind, workers, options.seed, allocated));
    if (options.json) {
      std::cout << ToJson(results.back()).dump() << std::endl;
    } else {
      PrintRow(results.back());
    }
  }
  nlohmann::ordered_json slopes;
  slopes["per_1000_workers"] = Slopes(results);
  std::cout << (options.json ? slopes.dump() : slopes.dump(2)) << "\n";
  return 0;
}

}  // namespace
}  // namespace quetzalshelf::bench

int main(int argc, char** argv) {
  quetzalshelf::bench::Options options;
  CLI::App app("Measures the cost of the decision core by size.");
  app.add_option("--seed", options.seed, "Seed of the load");
  app.add_option("--workers", options.workers, "Numbers of workers")
      ->check(CLI::Range(24, 100'000));
  app.add_option("--scheduler", options.scheduler, "shape or naive")
      ->check(CLI::IsMember({"shape", "naive"}));
  app.add_flag("--json", options.json, "One JSON object a line");
  CLI11_PARSE(app, argc, argv);
  return quetzalshelf::bench::Run(options);
}
