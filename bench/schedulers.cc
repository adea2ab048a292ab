#include "bench/schedulers.h"

#include "servers/scheduling/naive_scheduler.h"
#include "servers/scheduling/shape_scheduler.h"

namespace quetzalshelf::bench {

std::unique_ptr<scheduling::GangScheduler> MakeScheduler(SchedulerKind kind) {
  if (kind == SchedulerKind::kShape) {
    return std::make_unique<scheduling::ShapeScheduler>();
  }
  using Queueing = scheduling::NaiveScheduler::Queueing;
  return std::make_unique<scheduling::NaiveScheduler>(
      kind == SchedulerKind::kNaive ? Queueing::kInOrder : Queueing::kSkipping);
}

DriverOptions OptionsFor(SchedulerKind kind) {
  return {.resume_from_checkpoint = kind == SchedulerKind::kShape};
}

RunResult RunTrace(const Trace& trace, SchedulerKind kind) {
  const auto scheduler = MakeScheduler(kind);
  return Driver(trace, *scheduler, OptionsFor(kind)).Run();
}

}  // namespace quetzalshelf::bench
