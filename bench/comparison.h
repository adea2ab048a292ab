// Compares runs of two schedulers over the same traces.

#ifndef BENCH_COMPARISON_H_
#define BENCH_COMPARISON_H_

#include <map>
#include <string>
#include <vector>

#include <nlohmann/json.hpp>

#include "bench/driver.h"
#include "bench/trace.h"

namespace quetzalshelf::bench {

// One measure of both schedulers. Without a second scheduler `naive` is 0.
struct Pair {
  double ours = 0;
  double naive = 0;

  // `ours` over `naive`; 1 when both are 0.
  double Ratio() const;
};

// Completion times of one kind of work.
struct KindResult {
  int64_t jobs = 0;  // Finished under both schedulers.
  Pair mean_s;
  Pair p99_s;
};

struct Comparison {
  std::string deployment;
  uint64_t seed = 0;
  size_t workers = 0;
  size_t jobs = 0;
  double traced_hours = 0;  // Of arrivals.
  double offered_load = 0;  // Mean of the traces.
  int64_t jobs_compared = 0;
  Pair completion_mean_s;
  Pair completion_p99_s;
  // Mean run time of the compared jobs, relative to the naive mean completion
  // time: no scheduler gets below that ratio.
  double completion_floor_ratio = 0;
  std::map<std::string, KindResult> kinds;
  // Integral of the stranded share of the free accelerators, in seconds.
  Pair fragmentation;
  Pair fragmentation_mean_share;
  Pair stranded_accelerator_hours;
  Pair work_during_domain_move;  // Accelerator-seconds.
  Pair redone_accelerator_hours;
  Pair finished_jobs;
  Pair run_hours;  // Until the last job had an outcome.
  Pair most_tasks_running;
  Pair scheduler_cpu_s;
  FaultCounts ours;
  FaultCounts naive;
  std::vector<std::string> findings;  // About ours.
  std::vector<std::string> naive_findings;
};

// The results belong to the traces in order. `naive` may be empty; the measures
// then are of all jobs that finished.
Comparison Compare(const std::string& deployment,
                   const std::vector<Trace>& traces,
                   const std::vector<RunResult>& ours,
                   const std::vector<RunResult>& naive);

nlohmann::ordered_json ToJson(const Comparison& comparison);
std::string ToTable(const Comparison& comparison);

}  // namespace quetzalshelf::bench

#endif  // BENCH_COMPARISON_H_
