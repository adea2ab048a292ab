#include "servers/batch/planning/run_costs.h"

#include "servers/batch/placement.h"

namespace quetzalshelf::batch {

namespace {

// Factor by which stopping a run costs more per level of priority.
constexpr double kPriorityWeight = 4;
constexpr int kLowestPriority = 2;
// In core-seconds, added to each group of victims: a restart delays its job.
constexpr double kRestartCost = 10;

double Seconds(Duration duration) {
  return static_cast<double>(duration.count()) / 1000.0;
}

}  // namespace

double StepWork(const StepSpec& step) {
  return step.tasks * WeighCores(step.resources) * Seconds(step.estimate);
}

double LostWork(const Run& run,
                const StepSpec& spec,
                const Resources& each,
                TimePoint now) {
  if (run.phase != RunPhase::kRunning)
    return 0;
  const TimePoint since = spec.checkpointing ? run.saved_at : run.started_at;
  return WeighCores(each) * Seconds(now - since);
}

double StopCost(double lost_work, int priority) {
  double weight = 1;
  for (int n = priority; n < kLowestPriority; ++n)
    weight *= kPriorityWeight;
  return weight * (lost_work + kRestartCost);
}

}  // namespace quetzalshelf::batch
