// The schedulers that the benches compare.

#ifndef BENCH_SCHEDULERS_H_
#define BENCH_SCHEDULERS_H_

#include <memory>

#include "bench/driver.h"
#include "servers/scheduling/gang_scheduler.h"

namespace quetzalshelf::bench {

// kNaiveSkipping is the baseline that lets gangs overtake one that does not
// fit.
enum class SchedulerKind { kShape, kNaive, kNaiveSkipping };

std::unique_ptr<scheduling::GangScheduler> MakeScheduler(SchedulerKind kind);

// The baseline restarts gangs from the beginning.
DriverOptions OptionsFor(SchedulerKind kind);

// Runs a trace with a new scheduler.
RunResult RunTrace(const Trace& trace, SchedulerKind kind);

}  // namespace quetzalshelf::bench

#endif  // BENCH_SCHEDULERS_H_
