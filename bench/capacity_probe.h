// Cost of the decision core at a given size: latency of placements, CPU time of
// events and bytes of state.

#ifndef BENCH_CAPACITY_PROBE_H_
#define BENCH_CAPACITY_PROBE_H_

#include <cstdint>
#include <functional>
#include <string>
#include <vector>

#include "bench/schedulers.h"
#include "core/random.h"
#include "core/time.h"

namespace quetzalshelf::bench {

struct Latency {
  double p50_ms = 0;
  double p99_ms = 0;
  int64_t samples = 0;
};

struct CapacityResult {
  int workers = 0;
  double busy = 0;  // Share of the accelerators before the placements.
  int64_t tasks_running = 0;
  int64_t jobs_running = 0;
  Latency gang_of_1024;
  Latency gang_of_8;
  int64_t not_placed = 0;  // Gangs that did not start at once.
  double cpu_us_per_event = 0;
  double bytes_per_worker = 0;
  double bytes_per_task = 0;
  double bytes_per_job = 0;
};

// Bytes allocated now.
using AllocatedBytes = std::function<int64_t()>;

// Runs one scheduler instance with that many workers of 8 accelerators in 24
// failure domains, 70% busy.
CapacityResult ProbeCapacity(SchedulerKind kind,
                             int workers,
                             uint64_t seed,
                             const AllocatedBytes& allocated);

// Slope of the least-squares line through the points.
double Slope(const std::vector<double>& x, const std::vector<double>& y);

}  // namespace quetzalshelf::bench

#endif  // BENCH_CAPACITY_PROBE_H_
