// Compares the scheduling policy with the naive baseline over seeded traces.

#include <cstdint>
#include <iostream>
#include <string>
#include <vector>

#include <CLI/CLI.hpp>

#include "bench/comparison.h"
#include "bench/deployments.h"
#include "bench/schedulers.h"
#include "bench/seed_range.h"

namespace quetzalshelf::bench {
namespace {

struct Options {
  uint64_t seed = 1;
  std::string seeds;  // "A..B"; empty for `seed` alone.
  std::vector<std::string> deployments = {"solano", "viveiro"};
  std::string scheduler = "both";
  SchedulerKind baseline = SchedulerKind::kNaive;
  bool faults = true;
  bool json = false;
  bool findings = false;
};

Comparison RunOne(const Options& options,
                  const std::string& deployment,
                  uint64_t seed) {
  std::vector<Trace> traces;
  std::vector<RunResult> ours;
  std::vector<RunResult> naive;
  for (const TraceSpec& spec : DeploymentSpecs(deployment)) {
    // Regions of one deployment have traces of their own.
    traces.push_back(
        MakeTrace(spec, seed * 64 + traces.size(), options.faults));
    traces.back().seed = seed;
    const Trace& trace = traces.back();
    ours.push_back(RunTrace(trace, options.scheduler == "naive"
                                       ? options.baseline
                                       : SchedulerKind::kShape));
    if (options.scheduler == "both") {
      naive.push_back(RunTrace(trace, options.baseline));
    }
  }
  return Compare(deployment, traces, ours, naive);
}

void Print(const Options& options, const Comparison& comparison) {
  if (options.json) {
    std::cout << ToJson(comparison).dump() << "\n";
  } else {
    std::cout << ToTable(comparison);
    if (comparison.deployment == "target") {
      std::cout << "  The traced time is shortened to "
                << comparison.traced_hours
                << " h of arrivals; gangs from the start stand for the jobs "
                   "of the hours before.\n";
    }
  }
  if (options.findings) {
    for (const std::string& it : comparison.findings) {
      std::cerr << "  found: " << it << "\n";
    }
    for (const std::string& it : comparison.naive_findings) {
      std::cerr << "  found in naive: " << it << "\n";
    }
  }
  std::cout.flush();
}

int Run(const Options& options) {
  SeedRange range{options.seed, options.seed};
  if (!options.seeds.empty() && !ParseSeedRange(options.seeds, range)) {
    std::cerr << "--seeds: expected A..B with A <= B, got \"" << options.seeds
              << "\"\n";
    return 2;
  }
  int64_t faults = 0;
  for (const std::string& deployment : options.deployments) {
    Worst worst;
    for (uint64_t seed = range.first; seed <= range.last; ++seed) {
      const Comparison comparison = RunOne(options, deployment, seed);
      Print(options, comparison);
      worst.Add(comparison);
      faults += comparison.ours.Total();
    }
    if (!options.seeds.empty()) {
      std::cout << worst.ToText(deployment, options.json) << "\n";
    }
  }
  return faults == 0 ? 0 : 1;
}

}  // namespace
}  // namespace quetzalshelf::bench

int main(int argc, char** argv) {
  quetzalshelf::bench::Options options;
  CLI::App app("Measures the scheduling policy against the naive baseline.");
  app.add_option("--seed", options.seed, "Seed of the traces");
  app.add_option("--seeds", options.seeds,
                 "Range A..B of seeds; prints the worst ratios and the sums of "
                 "the counts");
  app.add_option("--deployment", options.deployments, "solano, viveiro, target")
      ->check(CLI::IsMember({"solano", "viveiro", "target"}));
  app.add_option("--scheduler", options.scheduler,
                 "both, shape, or naive alone")
      ->check(CLI::IsMember({"both", "shape", "naive"}));
  std::string baseline = "naive";
  app.add_option("--baseline", baseline,
                 "naive (first in, first out) or skipping (gangs may overtake "
                 "one that does not fit)")
      ->check(CLI::IsMember({"naive", "skipping"}));
  std::string faults = "on";
  app.add_option("--faults", faults, "on or off")
      ->check(CLI::IsMember({"on", "off"}));
  app.add_flag("--json", options.json, "One JSON object a line");
  app.add_flag("--findings", options.findings,
               "Print the first faults found on standard error");
  CLI11_PARSE(app, argc, argv);
  using quetzalshelf::bench::SchedulerKind;
  options.baseline = baseline == "naive" ? SchedulerKind::kNaive
                                         : SchedulerKind::kNaiveSkipping;
  options.faults = faults == "on";
  return quetzalshelf::bench::Run(options);
}
